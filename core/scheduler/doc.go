// Package scheduler is the reducer of a host on the platform. It accepts jobs,
// elects the leader that schedules them, places tasks on workers, and answers
// callers.
//
// The package owns the State of one host, which only Reduce changes. Reduce
// applies one event and returns effects as data. It does no I/O, reads no clock
// and draws no random numbers: time, seeds and fresh identifiers arrive in
// events. The same events give the same effects.
//
// Every host accepts jobs by committing them to the platform's store. Workers and
// jobs are divided into shards. One host, the leader of a shard, schedules its
// jobs: it holds a lease in the store, sends its epoch with each command to a
// worker, and acknowledges the end of a run only once the store has recorded it.
// The workers' own lists are the authority on where a task runs; a new leader
// reads them before it starts anything that a former leader may have started.
//
// The files by subject: the division of workers into shards in plan.go, the loads of
// shards in shards.go and backlog.go, the refusal of new jobs in admission.go, the
// shard of a new job in route.go, moves of jobs in moving.go, leadership in
// leadership.go and leader.go; the queue of one shard in schedule.go and its order in
// rank.go, its limits in startwindow.go (how many starts) and startlimit.go (until
// when), and placement in ranking.go (order of the workers), place.go (filter and score),
// exclusion.go (the names of the filter's conditions), hold.go (room that is kept) and
// preempt.go (runs that give way). Evacuated zones are in evacuation.go, moves out of them
// in zonemoves.go, and off draining workers in drain.go. explain.go tells what would happen
// to a job that is not submitted. What the leader stores is in commit.go (the chain of its
// commits), commititems.go (the rows of one commit), progress.go (the rows of a job),
// usedworkers.go, rowsize.go (the sizes of rows) and reject.go (rows that the store does
// not take); reads of whole tables are in bulkread.go. What callers are answered while the
// store does not answer is in storeoutage.go.
//
// Two kinds of tasks share a worker. Serving tasks have a target for their tail
// latency. Best-effort tasks use the CPU that other tasks leave idle; they are
// moved or throttled when a serving task is about to miss its target. How much of
// them a worker takes is decided in core/colocation; throttle.go carries it out.
package scheduler
