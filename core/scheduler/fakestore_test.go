package scheduler

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// fakeStore simulates the platform's store: tables with versioned rows,
// conditional commits and watches.
type fakeStore struct {
	sim            *simulation
	version        structs.Version
	rows           map[fakeRowID]Row
	history        []TableRow
	discardedUntil structs.Version // versions up to this one have been discarded from the history
	watches        []*fakeWatch

	down           bool                     // answers no calls
	cutTable       Table                    // reads and watches of it have no answer; 0: none
	maxChanges     int                      // in one answer to a watch; 0: any number
	refuseCommits  bool                     // refuses all commits
	rejectWrite    func(Write) bool         // rejects commits with such a write for good; nil: none
	namesRejected  bool                     // rejections name the writes at fault
	rejections     int                      // commits that were rejected
	rackLeftAt     map[string]time.Duration // when an entry last ceased to name each rack
	drainsSince    map[structs.WorkerID]time.Duration
	evacuatedSince map[string]time.Duration    // by zone
	commitOutcome  func(*fakeHost, Commit) int // decides the outcome of a commit
	commits        int
	commitTime     time.Duration               // that a partition takes for one transaction; others wait
	busyUntil      map[Partition]time.Duration // when each partition has performed the transactions that wait
}

// Limits of the store.
const (
	fakeMaxRowBytes    = 64 << 10
	fakeMaxCommitBytes = 1 << 20
	fakeMaxEntries     = 100
)

// overLimit returns the indexes of the writes that the store rejects for good. It fails
// the test if a commit as a whole is over a limit, or a row is larger than the scheduler
// expects.
func (s *fakeStore) overLimit(e Commit) []int {
	if n := len(e.Conditions) + len(e.Writes); n > fakeMaxEntries {
		s.sim.t.Fatalf("a commit has %d entries, at most %d", n, fakeMaxEntries)
	}
	var rejected []int
	total := 0
	for i, w := range e.Writes {
		data, err := json.Marshal(w.Value)
		if err != nil {
			s.sim.t.Fatal(err)
		}
		if w.Value != nil && len(data) > rowBytes(w.Value) {
			s.sim.t.Fatalf("row %v/%s has %d bytes, the scheduler expects at most %d", w.Table, w.Key, len(data), rowBytes(w.Value))
		}
		total += base64.StdEncoding.EncodedLen(len(data))
		if len(data) > fakeMaxRowBytes || s.rejectWrite != nil && s.rejectWrite(w) {
			rejected = append(rejected, i)
		}
	}
	if total > fakeMaxCommitBytes {
		s.sim.t.Fatalf("a commit has %d bytes, at most %d", total, fakeMaxCommitBytes)
	}
	return rejected
}

// maxCommitQueue is the wait from which a partition refuses further transactions.
const maxCommitQueue = time.Second

// fakeRowID identifies a row.
type fakeRowID struct {
	table     Table
	partition Partition
	key       string
}

// The outcomes of a commit.
const (
	commitAnswered   = iota
	commitUnanswered // performed, without an answer
	commitLate       // performed seconds later if its conditions still hold, without an answer
)

type fakeWatch struct {
	h    fakeConnection
	e    WatchRows
	done bool
}

func newFakeStore(sim *simulation) *fakeStore {
	return &fakeStore{sim: sim, rows: make(map[fakeRowID]Row), busyUntil: make(map[Partition]time.Duration), rackLeftAt: make(map[string]time.Duration), drainsSince: make(map[structs.WorkerID]time.Duration), evacuatedSince: make(map[string]time.Duration), commitOutcome: func(*fakeHost, Commit) int { return commitAnswered }}
}

// get returns the value that was written last to a key of a table, in any partition.
func (s *fakeStore) get(t Table, key string) RowValue {
	var last Row
	for id, row := range s.rows {
		if id.table == t && id.key == key && row.Version > last.Version {
			last = row
		}
	}
	return last.Value
}

// set writes a row on behalf of a program other than the hosts.
func (s *fakeStore) set(t Table, key string, v RowValue) {
	s.version++
	partition := Partition(0)
	if t == TableJobs {
		partition = jobPartition(structs.JobID(key))
	}
	s.put(fakeRowID{t, partition, key}, v)
	s.notify()
}

func (s *fakeStore) put(id fakeRowID, v RowValue) {
	if plan, ok := v.(ShardPlanRow); ok {
		s.checkPlan(plan)
	}
	if w, ok := s.rows[id].Value.(WorkerRow); ok && id.table == TableWorkers {
		s.rackLeftAt[rackKey(structs.WorkerID(id.key), &w.WorkerEntry)] = s.sim.now
	}
	s.recordLeaving(id, v)
	r := Row{Partition: id.partition, Key: id.key, Version: s.version, Value: v, Removed: v == nil}
	if v == nil {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, TableRow{id.table, r})
}

// recordLeaving records since when workers drain and zones are evacuated.
func (s *fakeStore) recordLeaving(id fakeRowID, v RowValue) {
	if zone, ok := strings.CutPrefix(id.key, evacuationKeyPrefix); ok && id.table == TableOperator {
		trackFirst(s.evacuatedSince, zone, v != nil, s.sim.now)
	}
	if w, ok := v.(WorkerRow); id.table == TableWorkers {
		trackFirst(s.drainsSince, structs.WorkerID(id.key), ok && w.Draining, s.sim.now)
	}
}

// trackFirst keeps since when a condition holds for a key, and removes the key when it does not.
func trackFirst[K comparable](since map[K]time.Duration, key K, holds bool, now time.Duration) {
	if _, known := since[key]; holds && !known {
		since[key] = now
	} else if !holds {
		delete(since, key)
	}
}

// checkPlan fails the test if a plan gives a rack to another shard than the plan before,
// or lacks a rack that has had a listed worker within absentRackRetention.
func (s *fakeStore) checkPlan(plan ShardPlanRow) {
	before, _ := s.get(TableShards, KeyPlan).(ShardPlanRow)
	for rack, shard := range before.Racks {
		got, ok := plan.Racks[rack]
		if !ok && s.rackAbsentFor(rack) >= absentRackRetention {
			continue
		}
		if !ok || got != shard {
			s.sim.t.Fatalf("%v: rack %s of %v is given to %v (assigned: %v)", s.sim.now, rack, shard, got, ok)
		}
	}
}

// rackAbsentFor returns how long no entry of the list of workers has named a rack.
func (s *fakeStore) rackAbsentFor(rack string) time.Duration {
	for id, r := range s.rows {
		if w, ok := r.Value.(WorkerRow); ok && id.table == TableWorkers && rackKey(structs.WorkerID(id.key), &w.WorkerEntry) == rack {
			return 0
		}
	}
	return s.sim.now - s.rackLeftAt[rack]
}

func (s *fakeStore) reachable(h fakeConnection) bool { return !s.down && !h.storeCut }

func (s *fakeStore) storeMS() int64 { return 5_000_000 + s.sim.now.Milliseconds() }

func (s *fakeStore) commit(h fakeConnection, e Commit) {
	s.commits++
	if !s.reachable(h) {
		h.deliverAfter(e.Timeout, Committed{Effect: e.ID, Outcome: structs.OutcomeUnknown})
		return
	}
	if rejected := s.overLimit(e); len(rejected) > 0 {
		s.rejections++
		result := Committed{Effect: e.ID, Outcome: structs.OutcomeNotDone, Rejected: true}
		if s.namesRejected {
			result.RejectedWrites = rejected
		}
		h.deliverAfter(storeDelay, result)
		return
	}
	if s.refuseCommits {
		h.deliverAfter(storeDelay, Committed{Effect: e.ID, Outcome: structs.OutcomeNotDone})
		return
	}
	if s.commitTime > 0 && len(e.Writes) > 0 {
		s.commitSlowly(h, e)
		return
	}
	switch s.commitOutcome(h.fakeHost, e) {
	case commitUnanswered:
		s.sim.after(storeDelay, func() { s.perform(e) })
		h.deliverAfter(e.Timeout, Committed{Effect: e.ID, Outcome: structs.OutcomeUnknown})
	case commitLate:
		s.sim.after(3*time.Second, func() { s.perform(e) })
		h.deliverAfter(e.Timeout, Committed{Effect: e.ID, Outcome: structs.OutcomeUnknown})
	default:
		s.sim.after(storeDelay, func() { h.deliverAfter(storeDelay, s.perform(e)) })
	}
}

// commitSlowly performs a commit after those that wait in its partition.
func (s *fakeStore) commitSlowly(h fakeConnection, e Commit) {
	p, now := e.Writes[0].Partition, s.sim.now
	if s.busyUntil[p]-now > maxCommitQueue {
		h.deliverAfter(storeDelay, Committed{Effect: e.ID, Outcome: structs.OutcomeNotDone})
		return
	}
	s.busyUntil[p] = max(s.busyUntil[p], now) + s.commitTime
	wait := s.busyUntil[p] - now
	s.sim.after(wait, func() {
		result := s.perform(e)
		if wait <= e.Timeout {
			h.deliverAfter(0, result)
		}
	})
	if wait > e.Timeout {
		h.deliverAfter(e.Timeout, Committed{Effect: e.ID, Outcome: structs.OutcomeUnknown})
	}
}

// checkPartition fails the test if the rows of a commit are in several partitions.
func (s *fakeStore) checkPartition(e Commit) {
	parts := make(map[Partition]bool)
	for _, c := range e.Conditions {
		parts[c.Partition] = true
	}
	for _, w := range e.Writes {
		parts[w.Partition] = true
	}
	if len(parts) > 1 {
		s.sim.t.Fatalf("a commit has rows of %d partitions, want 1", len(parts))
	}
}

// perform applies a commit if its conditions hold.
func (s *fakeStore) perform(e Commit) Committed {
	result := Committed{Effect: e.ID, Outcome: structs.OutcomeNotDone, StoreMS: s.storeMS()}
	s.checkPartition(e)
	for _, c := range e.Conditions {
		if s.rows[fakeRowID{c.Table, c.Partition, c.Key}].Version != c.Version {
			for _, c := range e.Conditions {
				row, ok := s.rows[fakeRowID{c.Table, c.Partition, c.Key}]
				if !ok {
					row = Row{Partition: c.Partition, Key: c.Key, Removed: true}
				}
				result.Conflicts = append(result.Conflicts, TableRow{c.Table, row})
			}
			return result
		}
	}
	s.version++
	for _, w := range e.Writes {
		s.put(fakeRowID{w.Table, w.Partition, w.Key}, w.Value)
	}
	s.notify()
	result.Outcome, result.Version = structs.OutcomeDone, s.version
	return result
}

func (s *fakeStore) read(h fakeConnection, e ReadRows) {
	if !s.reachable(h) || e.Table == s.cutTable {
		h.deliverAfter(e.Timeout, RowsRead{Effect: e.ID, Outcome: structs.OutcomeUnknown})
		return
	}
	s.sim.after(storeDelay, func() {
		result := RowsRead{Effect: e.ID, Outcome: structs.OutcomeDone, Version: s.version, StoreMS: s.storeMS()}
		for id, row := range s.rows {
			if id.table == e.Table && id.partition == e.Partition && id.key >= e.From && (e.To == "" || id.key < e.To) {
				result.Rows = append(result.Rows, row)
			}
		}
		slices.SortFunc(result.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
		limit := maxPageRows
		if e.Limit > 0 {
			limit = min(limit, e.Limit)
		}
		if len(result.Rows) > limit {
			result.Rows, result.More = result.Rows[:limit], true
		}
		s.deliverRows(h, result, e.Timeout)
	})
}

// deliverRows delivers rows as fast as the host's link carries them, or an unknown
// outcome when that takes longer than the timeout. What is not carried by then is dropped.
func (s *fakeStore) deliverRows(h fakeConnection, result RowsRead, timeout time.Duration) {
	for _, r := range result.Rows {
		result.Bytes += s.rowBytes(r)
	}
	wait := h.receive(result.Bytes, timeout)
	if wait > timeout {
		h.deliverAfter(timeout, RowsRead{Effect: result.Effect, Outcome: structs.OutcomeUnknown})
		return
	}
	h.deliverAfter(wait, result)
}

// rowBytes returns the size of a row on a host's link.
func (s *fakeStore) rowBytes(r Row) int {
	data, err := json.Marshal(r.Value)
	if err != nil {
		s.sim.t.Fatal(err)
	}
	return base64.StdEncoding.EncodedLen(len(data)) + len(r.Key)
}

// receive occupies the host's link with an answer, and returns how long it takes to
// arrive. An answer that would take longer than the timeout is given up by then.
func (h *fakeHost) receive(bytes int, timeout time.Duration) time.Duration {
	if h.linkBytesPerSecond == 0 {
		return 0
	}
	now := h.sim.now
	h.linkFreeAt = max(h.linkFreeAt, now) + time.Duration(float64(bytes)/h.linkBytesPerSecond*float64(time.Second))
	wait := h.linkFreeAt - now
	h.linkFreeAt = min(h.linkFreeAt, now+timeout)
	return wait
}

func (s *fakeStore) watch(h fakeConnection, e WatchRows) {
	if !s.reachable(h) || e.Table == s.cutTable {
		h.deliverAfter(e.Timeout, RowsRead{Effect: e.ID, Outcome: structs.OutcomeUnknown})
		return
	}
	w := &fakeWatch{h: h, e: e}
	s.watches = append(s.watches, w)
	s.sim.after(e.Wait, func() { s.answer(w, nil) })
	s.notify()
}

// notify answers the watches whose tables have changed.
func (s *fakeStore) notify() {
	for _, w := range s.watches {
		if w.done {
			continue
		}
		if w.e.After < s.discardedUntil {
			w.done = true
			w.h.deliverAfter(storeDelay, RowsRead{Effect: w.e.ID, Outcome: structs.OutcomeNotDone, HistoryDiscarded: true})
			continue
		}
		var rows []Row
		for _, c := range s.history {
			if c.Table == w.e.Table && c.Row.Version > w.e.After {
				rows = append(rows, c.Row)
			}
		}
		if len(rows) > 0 {
			s.answer(w, rows)
		}
	}
	s.watches = slices.DeleteFunc(s.watches, func(w *fakeWatch) bool { return w.done })
}

func (s *fakeStore) answer(w *fakeWatch, rows []Row) {
	if w.done {
		return
	}
	w.done = true
	if !s.reachable(w.h) || w.e.Table == s.cutTable {
		w.h.deliverAfter(watchTimeoutSlack, RowsRead{Effect: w.e.ID, Outcome: structs.OutcomeUnknown})
		return
	}
	version := s.version
	if s.maxChanges > 0 && len(rows) > s.maxChanges {
		rows = rows[:s.maxChanges]
		version = rows[len(rows)-1].Version
	}
	s.deliverRows(w.h, RowsRead{Effect: w.e.ID, Outcome: structs.OutcomeDone, Rows: rows, Version: version, StoreMS: s.storeMS()}, w.e.Timeout-w.e.Wait)
}
