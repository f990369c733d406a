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
// The files by subject:
//
//   - the reducer: state.go, event.go, effect.go, rows.go (rows of the store), config.go
//   - requests of callers: requests.go, admission.go (refusal for lack of room), route.go
//     (shard of a new job), storeoutage.go (answers during an outage of the store),
//     explain.go and explanation.go (what would happen to a job that is not submitted)
//   - the store: store.go (health, calls and watches), bulkread.go (reads of whole tables)
//   - shards and leaders: plan.go (division of workers into shards), shards.go and
//     backlog.go (their loads), leadership.go (election), leader.go (state of a leader)
//   - jobs: jobs.go, progress.go (rows of a job), moving.go (moves between shards), parts.go
//     (tasks given to other shards), expire.go (removal of old rows)
//   - the queue of a shard: schedule.go (passes), rank.go (order), startwindow.go (how many
//     starts), startlimit.go (until when)
//   - placement: filter.go (which workers accept a task), exclusion.go (names of the filter's
//     conditions), place.go (scores and gangs), ranking.go (order of the workers), hold.go
//     (room that is kept), preempt.go (runs that give way), advice.go (the advice service)
//   - workers: workers.go, sync.go, incarnation.go, reconcile.go, lease.go, quarantine.go,
//     usedworkers.go (workers that may have runs)
//   - runs: runs.go, ack.go (acknowledgement of ends), latestarts.go (starts without an
//     answer)
//   - runs that are moved: drain.go (off draining workers), evacuation.go and zonemoves.go
//     (out of evacuated zones)
//   - best-effort tasks beside serving tasks: interference.go (learned estimates),
//     throttle.go
//   - what a leader stores: commit.go (chain of commits), commititems.go (rows of one commit),
//     rowsize.go (sizes of rows), reject.go (rows that the store does not take)
//
// Two kinds of tasks share a worker. Serving tasks have a target for their tail
// latency. Best-effort tasks use the CPU that other tasks leave idle; they are
// moved or throttled when a serving task is about to miss its target. How much of
// them a worker takes is decided in core/colocation; throttle.go carries it out.
package scheduler
