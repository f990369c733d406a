package scheduler

import (
	"cmp"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// readTimeout and commitTimeout bound one call to the store. A slow store
	// answers within about half a second; a dead connection costs one call.
	readTimeout   = 1200 * time.Millisecond
	commitTimeout = 1200 * time.Millisecond
	// storeFailureGrace is how long no call may be answered before the host reports itself
	// not ready.
	storeFailureGrace = 2 * time.Second
	// refuseAfterFailures is the number of consecutive failures after which callers
	// are refused without a call to the store.
	refuseAfterFailures = 2
	// storeRetryDelay is the pause before a failed call is retried.
	storeRetryDelay = 150 * time.Millisecond
	// watchWait is the longest wait of one watch. A watch on a dead connection
	// times out watchTimeoutSlack later, so that a new configuration is seen within
	// two seconds.
	watchWait         = 1200 * time.Millisecond
	watchTimeoutSlack = 600 * time.Millisecond
	// workerWatchDelay separates the watches of the list of workers, which changes with
	// each heartbeat of each worker, from when one is sent until the next one is.
	workerWatchDelay = 300 * time.Millisecond
)

// storeHealth holds the results of the host's recent calls to the store.
type storeHealth struct {
	lastSuccess  Instant
	failing      bool
	failingSince Instant // first failure since lastSuccess
	everReached  bool
	failures     int     // since lastSuccess
	lastFailure  Instant // 0: none
}

// observe records the outcome of one call.
func (h *storeHealth) observe(s *State, outcome structs.Outcome) {
	if outcome == structs.OutcomeDone {
		if h.failing || !h.everReached {
			s.logDecision(Decision{Part: "store", Action: "store reached", Subject: s.self.Host, Age: s.now - h.failingSince})
		}
		h.failing, h.everReached, h.lastSuccess, h.failures = false, true, s.now, 0
		return
	}
	if !h.failing {
		h.failingSince = s.now
		s.logDecision(Decision{Part: "store", Action: "store call failed", Subject: s.self.Host, Reason: outcomeName(outcome)})
	}
	h.failing, h.lastFailure = true, s.now
	h.failures++
	if h.failures == refuseAfterFailures {
		s.after(max(h.lastSuccess+storeFailureGrace-s.now, 0), s.updateReady)
	}
	if h.isOutage(s.now) {
		s.after(0, s.giveUpDuringOutage) // once the outcome of this call is recorded
	}
}

// reachable reports whether the host should take new connections. The time counts from
// the last answered call, since a call to a silent store fails only at its timeout.
func (h *storeHealth) reachable(now Instant) bool {
	return h.everReached && (!h.shouldRefuse() || now-h.lastSuccess < storeFailureGrace)
}

// shouldRefuse reports whether requests should be refused without a call to the
// store, because calls keep failing. Polls of the lease continue and detect when
// the store is reachable again.
func (h *storeHealth) shouldRefuse() bool { return h.failing && h.failures >= refuseAfterFailures }

// isOutage reports whether all calls have failed for so long that the requests in progress
// are better served by another host.
func (h *storeHealth) isOutage(now Instant) bool {
	return h.shouldRefuse() && now-h.lastSuccess >= storeOutageTime
}

func outcomeName(o structs.Outcome) string {
	switch o {
	case structs.OutcomeDone:
		return "done"
	case structs.OutcomeNotDone:
		return "not done"
	}
	return "unknown"
}

// read reads rows and passes the result to done.
func (s *State) read(e ReadRows, done func(RowsRead)) {
	e.Timeout = cmp.Or(e.Timeout, readTimeout)
	e.ID = s.expectOutcome(func(body EventBody) {
		r := body.(RowsRead)
		s.store.observe(s, r.Outcome)
		done(r)
	})
	s.emit(e)
}

// commit writes rows and passes the result to done.
func (s *State) commit(e Commit, done func(Committed)) {
	e.Timeout = cmp.Or(e.Timeout, commitTimeout)
	e.ID = s.expectOutcome(func(body EventBody) {
		r := body.(Committed)
		if len(r.Conflicts) > 0 {
			s.store.observe(s, structs.OutcomeDone)
		} else {
			s.store.observe(s, r.Outcome)
		}
		done(r)
	})
	s.emit(e)
}

// watch follows one table: it reads all rows once and then waits for changes.
// It reads all rows again when the store has discarded the history that it needs.
type watch struct {
	table             Table
	onRows            func(rows []Row, all bool) // all: rows is the whole table
	onLoaded          func()                     // called once after the first complete read; may be nil
	active            bool
	afterVersion      structs.Version
	snapshot          []Row
	oldestPage        structs.Version // lowest version of the pages of a read
	loadingPartitions int             // partitions whose read is not complete
	loadSentAt        Instant         // when the first page of the read that goes on was sent
	failures          int             // watches in a row without an answer while the store answered other calls
	unanswered        bool            // the last watch had no answer
	view              tableView
}

// tableView tells how recent what a watch has seen of its table is: each row that the store
// accepted before asOf has been applied.
type tableView struct {
	complete bool // the whole table has been read
	asOf     Instant
}

// watchKey identifies a watch. Each leader of a host has its own; those of the host
// itself belong to shard 0.
type watchKey struct {
	table Table
	shard ShardID
}

// watchTable follows a table until stopWatch.
func (s *State) watchTable(key watchKey, rows func([]Row, bool), loaded func()) {
	w := &watch{table: key.table, onRows: rows, onLoaded: loaded, active: true}
	s.watches[key] = w
	w.loadAll(s)
}

func (s *State) stopWatch(key watchKey) {
	if w := s.watches[key]; w != nil {
		w.active = false
		delete(s.watches, key)
	}
}

// loadAll reads all partitions of the table at once, as far as the link allows: one
// after another would take too long while the store is slow.
func (w *watch) loadAll(s *State) {
	partitions := w.table.loadedPartitions()
	w.snapshot, w.oldestPage, w.loadSentAt, w.loadingPartitions = nil, 0, 0, len(partitions)
	for _, part := range partitions {
		w.load(s, part, "")
	}
}

// load reads a partition of the table, starting at a key.
func (w *watch) load(s *State, part Partition, from string) {
	if !w.active {
		return
	}
	s.readPage(w.table, part, from, func(r RowsRead, sentAt Instant) {
		if !w.active {
			return
		}
		if r.Outcome != structs.OutcomeDone {
			s.after(s.jittered(storeRetryDelay), func() { w.load(s, part, from) })
			return
		}
		if w.oldestPage == 0 || r.Version < w.oldestPage {
			w.oldestPage = r.Version
		}
		if w.loadSentAt == 0 || sentAt < w.loadSentAt {
			w.loadSentAt = sentAt
		}
		w.snapshot = append(w.snapshot, r.Rows...)
		if r.More && len(r.Rows) > 0 {
			// The next page begins right after the last key of this one.
			w.load(s, part, r.Rows[len(r.Rows)-1].Key+"\x00")
			return
		}
		if w.loadingPartitions--; w.loadingPartitions == 0 {
			w.loadDone(s)
		}
	})
}

func (w *watch) loadDone(s *State) {
	rows := w.snapshot
	w.snapshot, w.afterVersion = nil, w.oldestPage
	w.view = tableView{complete: true, asOf: w.loadSentAt}
	w.onRows(rows, true)
	if loaded := w.onLoaded; loaded != nil {
		w.onLoaded = nil
		loaded()
	}
	w.wait(s)
}

func (w *watch) wait(s *State) {
	if !w.active {
		return
	}
	sentAt := s.now
	e := WatchRows{Table: w.table, After: w.afterVersion, Wait: w.waitTime(s.bounds)}
	e.Timeout = max(e.Wait+watchTimeoutSlack*w.timeoutFactor(), readTimeout)
	e.ID = s.expectOutcome(func(body EventBody) { w.changed(s, body.(RowsRead), sentAt) })
	s.emit(e)
}

func (w *watch) changed(s *State, r RowsRead, sentAt Instant) {
	if !w.active {
		return
	}
	switch {
	case r.HistoryDiscarded:
		s.store.observe(s, structs.OutcomeDone)
		s.logDecision(Decision{Part: "store", Action: "history gone, reading the table again", Subject: w.table.String(), Number: uint64(w.afterVersion)})
		w.loadAll(s)
	case r.Outcome != structs.OutcomeDone:
		s.store.observe(s, r.Outcome)
		w.unanswered = true
		w.countFailure(s, sentAt)
		s.after(s.jittered(storeRetryDelay), func() { w.wait(s) })
	default:
		s.store.observe(s, structs.OutcomeDone)
		w.failures, w.unanswered = 0, false
		w.afterVersion = max(w.afterVersion, r.Version)
		more := r.moreChanges()
		if !more {
			w.view.asOf = sentAt
		}
		if len(r.Rows) > 0 {
			w.onRows(r.Rows, false)
		}
		if next := sentAt + workerWatchDelay; w.table == TableWorkers && !more && next > s.now {
			s.after(next-s.now, func() { w.wait(s) })
			return
		}
		w.wait(s)
	}
}

// moreChanges reports whether further changes may follow those in the answer to a watch: it
// has as many rows as a page holds, and the store says to go on after the last of them.
func (r *RowsRead) moreChanges() bool {
	n := len(r.Rows)
	return n >= maxPageRows && r.Version <= r.Rows[n-1].Version
}

// String returns the table's name in logs.
func (t Table) String() string {
	switch t {
	case TableOperator:
		return "operator"
	case TableWorkers:
		return "workers"
	case TableControl:
		return "control"
	case TableJobs:
		return "jobs"
	case TableProgress:
		return "progress"
	case TableCancels:
		return "cancels"
	case TableShards:
		return "shards"
	}
	return "unknown"
}
