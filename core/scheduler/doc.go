// Package scheduler is the reducer of a host on the platform. It accepts jobs,
// elects the host that schedules, places tasks on workers, and answers callers.
//
// Reduce applies one event to the State and returns effects as data. It does no
// I/O, reads no clock and draws no random numbers: time, seeds and fresh
// identifiers arrive in events. The same events give the same effects.
//
// Every host accepts jobs by committing them to the platform's store. One host,
// the leader, schedules all of them: it holds a lease in the store, carries an
// epoch in each order to a worker, and acknowledges the end of a run only after
// the store has it. The workers' own lists are the authority on where a task
// runs; a new leader reads them before it starts anything that its predecessor
// may have started.
package scheduler
