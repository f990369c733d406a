package main

import (
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

// Limits of the platform's store, as PROTOCOL.md and the settings of a small
// deployment give them.
const (
	rowBytes     = 65536   // RowBytes
	maxEntries   = 100     // entries of one transaction
	maxCallBytes = 1 << 20 // one transaction
	maxKeyBytes  = 200
	pageRows     = 500
	txTime       = 8 * time.Millisecond // TxMs
	readTime     = 4 * time.Millisecond
)

type row struct {
	Table      string `json:"Table"`
	Part       string `json:"part"`
	Key        string `json:"Key"`
	Value      []byte `json:"Value,omitempty"`
	RowVersion uint64 `json:"RowVersion"`
	Removed    bool   `json:"Removed,omitempty"`
}

type rowID struct{ table, part, key string }

type transaction struct {
	ExpectedRevision []row `json:"ExpectedRevision"`
	SetKeys          []row `json:"SetKeys"`
	Remove           []row `json:"Remove"`
}

// store is the stand-in of the platform's table store. It loses nothing that it has
// acknowledged, and refuses with 400 what is over its limits.
type store struct {
	rec     *record
	started time.Time

	mu       sync.Mutex
	version  uint64
	rows     map[rowID]row
	history  []row
	changed  chan struct{}
	parts    map[string]*sync.Mutex
	refused  int
	lateRate float64 // share of the transactions that get no answer and are performed 1 to 6 s later
}

func newStore(rec *record) *store {
	return &store{rec: rec, started: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex)}
}

// put writes a row on behalf of the operator or a worker.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value})
	s.notify()
}

// drop removes a row on behalf of a worker.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowID{table, "", key}]; !ok {
		return
	}
	s.version++
	s.set(row{Table: table, Key: key, Removed: true})
	s.notify()
}

func (s *store) set(r row) {
	r.RowVersion = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/tamarackstep/rows-tx":
		s.serveTx(w, r)
	case "/tamarackstep/rows-get":
		time.Sleep(readTime)
		s.serveGet(w, r)
	case "/tamarackstep/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// refuse answers a transaction that is over a limit of the store.
func (s *store) refuse(w http.ResponseWriter, why string) {
	s.mu.Lock()
	s.refused++
	n := s.refused
	s.mu.Unlock()
	if n <= 20 || n%50 == 0 {
		s.rec.line("store: transaction refused with 400 (%s), refusal number %d", why, n)
	}
	writeJSON(w, http.StatusBadRequest, map[string]any{"Error": why})
}

// overLimit returns why a transaction is over a limit, or an empty string.
func overLimit(t *transaction, size int) string {
	if size > maxCallBytes {
		return fmt.Sprintf("the call has %d bytes, 1 MB at most", size)
	}
	if n := len(t.ExpectedRevision) + len(t.SetKeys) + len(t.Remove); n > maxEntries {
		return fmt.Sprintf("the call has %d entries, %d at most", n, maxEntries)
	}
	part, first := "", true
	for _, list := range [][]row{t.ExpectedRevision, t.SetKeys, t.Remove} {
		for _, r := range list {
			if !first && r.Part != part {
				return "entries of several parts"
			}
			part, first = r.Part, false
			if len(r.Key) > maxKeyBytes {
				return "key too long"
			}
			if len(r.Value) > rowBytes {
				return fmt.Sprintf("the value of row %s/%s has %d bytes, RowBytes is %d", r.Table, r.Key, len(r.Value), rowBytes)
			}
		}
	}
	return ""
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t transaction
	if err := json.Unmarshal(data, &t); err != nil {
		s.refuse(w, "not a transaction")
		return
	}
	if why := overLimit(&t, len(data)); why != "" {
		s.refuse(w, why)
		return
	}
	part := ""
	for _, list := range [][]row{t.ExpectedRevision, t.SetKeys, t.Remove} {
		for _, e := range list {
			part = e.Part
		}
	}
	s.mu.Lock()
	late := s.lateRate > 0 && rand.Float64() < s.lateRate
	lock := s.parts[part]
	if lock == nil {
		lock = &sync.Mutex{}
		s.parts[part] = lock
	}
	s.mu.Unlock()
	if late {
		delay := time.Second + time.Duration(rand.Int64N(int64(5*time.Second)))
		time.AfterFunc(delay, func() { s.commit(&t) })
		select { // the connection delivers nothing further
		case <-r.Context().Done():
		case <-time.After(20 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	lock.Lock()
	time.Sleep(txTime)
	conflicts, version, ok := s.commit(&t)
	lock.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, conflicts, false, version)
}

func (s *store) commit(t *transaction) ([]row, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	for _, c := range t.ExpectedRevision {
		ok = ok && s.rows[rowID{c.Table, c.Part, c.Key}].RowVersion == c.RowVersion
	}
	if !ok {
		var current []row
		for _, c := range t.ExpectedRevision {
			if r, exists := s.rows[rowID{c.Table, c.Part, c.Key}]; exists {
				current = append(current, r)
			}
		}
		return current, s.version, false
	}
	s.version++
	for _, r := range t.SetKeys {
		s.set(r)
	}
	for _, r := range t.Remove {
		if _, exists := s.rows[rowID{r.Table, r.Part, r.Key}]; exists {
			r.Removed, r.Value = true, nil
			s.set(r)
		}
	}
	s.notify()
	return nil, s.version, true
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	var found []row
	for id, e := range s.rows {
		if id.table == q.Get("Table") && id.part == q.Get("part") && id.key >= q.Get("From") && (q.Get("Target") == "" || id.key < q.Get("Target")) {
			found = append(found, e)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(found) && n < limit && (n == 0 || size+len(found[n].Value) <= maxCallBytes/2) {
		size += len(found[n].Value)
		n++
	}
	s.answer(w, http.StatusOK, found[:n], n < len(found), version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	expired := time.After(min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	for {
		s.mu.Lock()
		at, _ := slices.BinarySearchFunc(s.history, after+1, func(e row, v uint64) int {
			if e.RowVersion < v {
				return -1
			}
			return 1
		})
		var found []row
		for _, e := range s.history[at:] {
			if e.Table == q.Get("Table") {
				found = append(found, e)
			}
		}
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if len(found) > 0 {
			s.answer(w, http.StatusOK, found, false, version)
			return
		}
		select {
		case <-changed:
		case <-expired:
			s.answer(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, status, map[string]any{
		"rows": rows, "HasMore": more, "RowVersion": version, "NowMs": time.Since(s.started).Milliseconds() + 1,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the peer may be gone
}
