package jobplatform

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the faults that the store injects.
type StoreFaults struct {
	Down           bool          // every request is answered with 503
	Hang           bool          // no request is answered
	Delay          time.Duration // delay of each request
	LostAnswerRate float64       // share of the transactions that take effect without an answer, 0 to 1
	LateCommitRate float64       // share of the transactions that take effect up to MaxLateCommit later, without an answer, 0 to 1
	MaxLateCommit  time.Duration // 0: defaultMaxLateCommit
	MaxHistory     int           // changes that are kept; 0: maxHistoryRows
}

const (
	maxPageRows          = 500             // in one answer
	defaultMaxLateCommit = 3 * time.Second // delay within which a late transaction takes effect
	maxHistoryRows       = 20_000          // older changes are discarded
	maxFeedWait          = 30 * time.Second
	commitLatency        = 4 * time.Millisecond
)

// Limits of the store. A transaction over one of them is answered with 400.
const (
	MaxRowBytes    = 64 << 10 // value of a row
	maxCallBytes   = 1 << 20  // body of a transaction, and rows of a page
	maxCallEntries = 100
)

// Row is a row, or the removal of a row, as it is encoded on the wire.
type Row struct {
	Table      string `json:"Table"`
	Part       string `json:"part"`
	Key        string `json:"Key"`
	Value      []byte `json:"Value,omitempty"`
	RowVersion uint64 `json:"RowVersion"`
	Removed    bool   `json:"Removed,omitempty"`
}

type rowID struct{ table, part, key string }

type rowsAnswer struct {
	Rows       []Row  `json:"rows"`
	HasMore    bool   `json:"HasMore"`
	RowVersion uint64 `json:"RowVersion"`
	NowMs      int64  `json:"NowMs"`
}

// Store is the platform's table store. It keeps rows in memory, loses no
// write, and is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	faults      StoreFaults
	started     time.Time
	version     uint64
	rows        map[rowID]Row
	history     []Row         // changes, oldest first
	compactedTo uint64        // the history up to this version is incomplete
	rejected    []string      // why transactions were over a limit
	changed     chan struct{} // closed and replaced at each change
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{started: time.Now(), rows: make(map[rowID]Row), changed: make(chan struct{})}
}

// SetFaults replaces the store's faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact discards the history. Feeds from an earlier version are answered with
// 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedTo = nil, s.version
}

// Put writes a row on behalf of the operator or a worker.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Value: value})
	s.notifyWaiters()
}

// Remove removes a row on behalf of the operator or a worker.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Removed: true})
	s.notifyWaiters()
}

// Rows returns the rows of a table in all partitions, in no order.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Row
	for id, row := range s.rows {
		if id.table == table {
			found = append(found, row)
		}
	}
	return found
}

// set applies a change at the current version and appends it to the history.
func (s *Store) set(r Row) {
	r.RowVersion = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	if extra := len(s.history) - cmp.Or(s.faults.MaxHistory, maxHistoryRows); extra > 0 {
		s.compactedTo = s.history[extra-1].RowVersion
		s.history = s.history[extra:]
	}
}

// notifyWaiters wakes the feeds that wait for a change.
func (s *Store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves transactions, reads of rows and feeds of changes.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(faults.Delay)
	if faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/tamarackstep/rows-tx":
		s.serveTransaction(w, r, faults)
	case "/tamarackstep/rows-get":
		s.serveRows(w, r)
	case "/tamarackstep/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type transaction struct {
	ExpectedRevision []Row `json:"ExpectedRevision"`
	SetKeys          []Row `json:"SetKeys"`
	Remove           []Row `json:"Remove"`
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, faults StoreFaults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller is gone
	}
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		s.reject(w, "not a transaction")
		return
	}
	if reason := t.overLimit(len(body)); reason != "" {
		s.reject(w, reason)
		return
	}
	switch draw := rand.Float64(); {
	case draw < faults.LateCommitRate:
		time.AfterFunc(rand.N(cmp.Or(faults.MaxLateCommit, defaultMaxLateCommit)), func() { s.commit(t) })
		panic(http.ErrAbortHandler)
	case draw < faults.LateCommitRate+faults.LostAnswerRate:
		s.commit(t)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(commitLatency)
	conflicts, version, ok := s.commit(t)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.writeAnswer(w, status, rowsAnswer{Rows: conflicts, RowVersion: version})
}

// overLimit returns which limit a transaction with a body of the given size is over, or an
// empty string.
func (t *transaction) overLimit(bodyBytes int) string {
	all := slices.Concat(t.ExpectedRevision, t.SetKeys, t.Remove)
	switch {
	case bodyBytes > maxCallBytes:
		return fmt.Sprintf("a transaction has %d bytes", bodyBytes)
	case len(all) > maxCallEntries:
		return fmt.Sprintf("a transaction has %d entries", len(all))
	}
	for _, row := range all {
		if row.Part != all[0].Part {
			return "a transaction has entries of several parts"
		}
		if len(row.Value) > MaxRowBytes {
			return fmt.Sprintf("row %s/%s has %d bytes", row.Table, row.Key, len(row.Value))
		}
	}
	return ""
}

func (s *Store) reject(w http.ResponseWriter, reason string) {
	s.mu.Lock()
	s.rejected = append(s.rejected, reason)
	s.mu.Unlock()
	w.WriteHeader(http.StatusBadRequest)
}

// Rejected returns why transactions were rejected so far.
func (s *Store) Rejected() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.rejected)
}

// commit applies a transaction if all its conditions hold, and otherwise returns
// the current rows that the conditions name.
func (s *Store) commit(t transaction) ([]Row, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.ExpectedRevision {
		if s.rows[rowID{c.Table, c.Part, c.Key}].RowVersion == c.RowVersion {
			continue
		}
		var current []Row
		for _, c := range t.ExpectedRevision {
			if row, ok := s.rows[rowID{c.Table, c.Part, c.Key}]; ok {
				current = append(current, row)
			}
		}
		return current, s.version, false
	}
	s.version++
	for _, row := range t.SetKeys {
		s.set(row)
	}
	for _, row := range t.Remove {
		row.Removed, row.Value = true, nil
		s.set(row)
	}
	s.notifyWaiters()
	return nil, s.version, true
}

func (s *Store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var found []Row
	for id, row := range s.rows {
		if id.table == q.Get("Table") && id.part == q.Get("part") && id.key >= q.Get("From") && (q.Get("Target") == "" || id.key < q.Get("Target")) {
			found = append(found, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	page := found[:pageLength(found, limit)]
	s.writeAnswer(w, http.StatusOK, rowsAnswer{Rows: page, HasMore: len(page) < len(found), RowVersion: version})
}

// pageLength returns how many of the rows fit into a page: at least one.
func pageLength(rows []Row, limit int) int {
	bytes := 0
	for i, row := range rows {
		bytes += base64.StdEncoding.EncodedLen(len(row.Value))
		if i == limit || i > 0 && bytes > maxCallBytes {
			return i
		}
	}
	return len(rows)
}

// serveFeed answers with the changes of a table after a version, and waits up to
// WaitMs for the first.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	expired := time.After(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	for {
		s.mu.Lock()
		compacted := after < s.compactedTo
		var found []Row
		for _, row := range s.history {
			if row.RowVersion > after && row.Table == q.Get("Table") {
				found = append(found, row)
			}
		}
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			s.writeAnswer(w, http.StatusOK, rowsAnswer{Rows: found, RowVersion: version})
			return
		}
		select {
		case <-changed:
		case <-expired:
			s.writeAnswer(w, http.StatusOK, rowsAnswer{RowVersion: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) writeAnswer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.NowMs = time.Since(s.started).Milliseconds() + 1
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // answer bodies can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may have disconnected
}
