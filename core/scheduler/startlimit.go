package scheduler

import "time"

const (
	// startTransit is the part of a limit on starts that is left for a command to arrive.
	startTransit = 250 * time.Millisecond
	// minStartTime is the least time that a start needs until it has an answer. A start
	// with less would often be given up, and its outcome would not be known.
	minStartTime = 150 * time.Millisecond
	// viewRefreshes is how often a view is refreshed within the time for which starts
	// may be decided on it: one watch may fail.
	viewRefreshes = 4
)

// operatorWatch is the host's watch of the operator's table.
var operatorWatch = watchKey{table: TableOperator}

// A worker that drains, or whose zone is evacuated, may get starts for a limited time after
// the store has accepted the row that says so. The leader does not see the row at once. So a
// start is sent only while the views on which it was decided are younger than that time:
// any row that they lack was accepted later.

// startsUntil returns the time until which starts may be sent, and what limits it.
func (l *leaderState) startsUntil() (until Instant, limit string) {
	s := l.state
	until, limit = l.leaseValidUntil, "the lease"
	operator := s.viewOf(operatorWatch)
	if !operator.complete {
		return 0, "the operator's table has not been read"
	}
	if t := s.bounds.EvacuationTime; t > 0 && operator.asOf+t-startTransit < until {
		until, limit = operator.asOf+t-startTransit, "the view of the operator's table is old"
	}
	workers := s.viewOf(watchKey{TableWorkers, l.shard})
	if t := s.bounds.DrainTime; t > 0 && workers.asOf+t-startTransit < until {
		until, limit = workers.asOf+t-startTransit, "the view of the list of workers is old"
	}
	return until, limit
}

// viewOf returns the view that a watch has of its table.
func (s *State) viewOf(key watchKey) tableView {
	if w := s.watches[key]; w != nil {
		return w.view
	}
	return tableView{}
}

// updateStartPause reports whether starts pause because a view is too old. The event that
// refreshes it runs the pass that waits.
func (l *leaderState) updateStartPause() bool {
	until, limit := l.startsUntil()
	paused := until < l.leaseValidUntil && l.state.now+minStartTime > until
	if paused != l.startsPaused {
		l.startsPaused = paused
		d := Decision{Part: "leader", Action: "starts go on", Subject: l.state.self.Host, Where: l.shard.String(), Number: uint64(l.epoch)}
		if paused {
			d.Action, d.Reason = "starts pause", limit
		}
		l.state.logDecision(d)
	}
	return paused
}

// waitTime returns how long the watch waits for a change. Starts depend on how old the
// views of two tables are, so that their watches do not wait for long where nothing changes,
// and not at all after one without an answer.
func (w *watch) waitTime(b Bounds) time.Duration {
	limit := time.Duration(0)
	switch w.table {
	case TableOperator:
		limit = b.EvacuationTime
	case TableWorkers:
		limit = b.DrainTime
	}
	if limit == 0 {
		return watchWait
	}
	if w.unanswered {
		return 0
	}
	return min(watchWait, limit/viewRefreshes)
}
