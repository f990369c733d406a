package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Tables are read in pages. All pages in flight share one budget of bytes, so that the
// host's link carries each of them within readTimeout, however many partitions are read
// at once. A page that arrived is kept; only the one that failed is read again.
const (
	// pageTime is how long the link should take for the pages in flight.
	pageTime = readTimeout / 3
	// fastPageTime is the age of a page up to which the budget doubles with all pages in
	// flight. Up to slowPageTime it grows by half, since the store may be what is slow;
	// beyond it the budget is too large.
	fastPageTime = readTimeout / 6
	slowPageTime = readTimeout / 2
	// defaultReadBudget applies while the capacity of the link is not known.
	defaultReadBudget = 1 << 20 // bytes
	minReadBudget     = 16 << 10
	maxReadBudget     = 16 << 20
	// defaultRowBytes is the size that is assumed for a row of a table that has not been
	// read yet.
	defaultRowBytes = 2 << 10
	// maxPageRows is the most rows that the store returns in a page.
	maxPageRows = 500
)

// bulkReads sends the pages of all tables that this host is reading.
type bulkReads struct {
	budget       int // bytes that may be in flight
	inFlight     int // bytes expected of the pages in flight
	pages        int // pages in flight
	waiting      []bulkRead
	rowBytes     map[Table]int // size of a row on the link, by table
	lastShrunkAt Instant
}

// bulkRead is a page that waits to be read.
type bulkRead struct {
	table     Table
	partition Partition
	from      string
	done      func(r RowsRead, sentAt Instant)
}

// init sets the budget from the capacity of the host's link, in bytes a second.
func (b *bulkReads) init(linkBytesPerSecond float64) {
	b.rowBytes = make(map[Table]int)
	b.budget = defaultReadBudget
	if linkBytesPerSecond > 0 {
		b.budget = int(min(linkBytesPerSecond*pageTime.Seconds(), maxReadBudget))
	}
	b.budget = max(b.budget, minReadBudget)
}

// readPage reads a page of a partition, from a key on, once the budget allows it, and
// passes it to done with the time at which the read was sent.
func (s *State) readPage(t Table, p Partition, from string, done func(r RowsRead, sentAt Instant)) {
	s.bulk.waiting = append(s.bulk.waiting, bulkRead{t, p, from, done})
	s.sendPages()
}

// sendPages sends waiting pages as far as the budget goes, at least one at a time.
func (s *State) sendPages() {
	b := &s.bulk
	for len(b.waiting) > 0 {
		next := b.waiting[0]
		limit := b.pageRows(next.table)
		expected := limit * b.rowSize(next.table)
		if b.pages > 0 && b.inFlight+expected > b.budget {
			return
		}
		b.waiting = slices.Delete(b.waiting, 0, 1)
		s.sendPage(next, limit, expected)
	}
}

func (s *State) sendPage(next bulkRead, limit, expected int) {
	b := &s.bulk
	b.pages++
	b.inFlight += expected
	sentAt := s.now
	s.read(ReadRows{Table: next.table, Partition: next.partition, From: next.from, Limit: limit}, func(r RowsRead) {
		b.pages--
		b.inFlight -= expected
		b.observe(next.table, r, sentAt, s.now)
		next.done(r, sentAt)
		s.sendPages()
	})
}

// pageRows returns how many rows of a table the next page requests: an equal share of
// the budget for all pages that are in flight or wait.
func (b *bulkReads) pageRows(t Table) int {
	share := b.budget / (b.pages + len(b.waiting))
	return min(max(share/b.rowSize(t), 1), maxPageRows)
}

// rowSize returns the expected size of a row of a table.
func (b *bulkReads) rowSize(t Table) int {
	if size, known := b.rowBytes[t]; known {
		return size
	}
	return defaultRowBytes
}

// observe adapts the budget to a page that was sent at sentAt. It shrinks once for all
// pages that were in flight together.
func (b *bulkReads) observe(t Table, r RowsRead, sentAt, now Instant) {
	done := r.Outcome == structs.OutcomeDone
	if done && len(r.Rows) > 0 {
		b.rowBytes[t] = max(r.Bytes/len(r.Rows), 1)
	}
	switch elapsed := now - sentAt; {
	case (!done || elapsed > slowPageTime) && sentAt >= b.lastShrunkAt:
		b.budget = max(b.budget/2, minReadBudget)
		b.lastShrunkAt = now
	case done && elapsed < fastPageTime:
		b.budget = min(b.budget+r.Bytes, maxReadBudget)
	case done && elapsed < slowPageTime:
		b.budget = min(b.budget+r.Bytes/2, maxReadBudget)
	}
}

// maxWatchTimeoutDoublings bounds how often the slack of a watch's time limit doubles.
const maxWatchTimeoutDoublings = 4

// countFailure counts a watch that was sent at sentAt and had no answer. While the store
// answers no other call either, the size of the answer is not the reason. The operator's
// configuration is small, and has to be seen in time.
func (w *watch) countFailure(s *State, sentAt Instant) {
	if s.store.lastSuccess < sentAt || w.table == TableOperator {
		w.failures = 0
		return
	}
	w.failures++
}

// timeoutFactor returns the factor of the slack of a watch's time limit. It doubles with
// each failure in a row, since the changes of a table that wait for this host may be
// more than its link carries within the first limit.
func (w *watch) timeoutFactor() time.Duration {
	return time.Duration(1) << min(w.failures, maxWatchTimeoutDoublings)
}
