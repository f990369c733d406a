package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	txTime     = 8 * time.Millisecond // of one transaction; those of one part follow each other
	answerTime = 4 * time.Millisecond
	pageRows   = 500
)

// row is a row of the store as it is on the wire.
type row struct {
	Table      string `json:"Table"`
	Part       string `json:"part"`
	Key        string `json:"Key"`
	Value      []byte `json:"Value,omitempty"`
	RowVersion uint64 `json:"RowVersion"`
	Removed    bool   `json:"Removed,omitempty"`
}

type rowKey struct{ table, part, key string }

type rowsAnswer struct {
	Rows       []row  `json:"rows"`
	HasMore    bool   `json:"HasMore"`
	RowVersion uint64 `json:"RowVersion"`
	NowMs      int64  `json:"NowMs"`
}

// store is the platform's table store without any fault.
type store struct {
	mu      sync.Mutex
	started time.Time
	version uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{} // closed and replaced at each change
	parts   map[string]*sync.Mutex
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex)}
}

// put writes a row for the operator or a worker.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values of the stand-ins can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: data})
	s.wake()
}

// remove removes a row for the platform.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Removed: true})
	s.wake()
}

func (s *store) set(r row) {
	r.RowVersion = s.version
	key := rowKey{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls about rows.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/tamarackstep/rows-tx":
		s.serveTransaction(w, r)
	case "/tamarackstep/rows-get":
		s.serveRows(w, r)
	case "/tamarackstep/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type transaction struct {
	ExpectedRevision, SetKeys, Remove []row
}

// part returns the lock that orders the transactions of a part.
func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = new(sync.Mutex)
	}
	return s.parts[name]
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	all := slices.Concat(t.ExpectedRevision, t.SetKeys, t.Remove)
	if len(all) == 0 || len(all) > 100 || slices.ContainsFunc(all, func(o row) bool { return o.Part != all[0].Part }) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part := s.part(all[0].Part)
	part.Lock()
	time.Sleep(txTime)
	conflicts, version, ok := s.commit(t)
	part.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, rowsAnswer{Rows: conflicts, RowVersion: version})
}

// commit performs a transaction, or returns the current rows of its conditions.
func (s *store) commit(t transaction) ([]row, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	failed := false
	for _, c := range t.ExpectedRevision {
		found, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, found)
		}
		failed = failed || found.RowVersion != c.RowVersion
	}
	if failed {
		return current, s.version, false
	}
	s.version++
	for _, r := range t.SetKeys {
		s.set(r)
	}
	for _, r := range t.Remove {
		r.Removed, r.Value = true, nil
		s.set(r)
	}
	s.wake()
	return []row{}, s.version, true
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	found := []row{}
	for key, o := range s.rows {
		if key.table == q.Get("Table") && key.part == q.Get("part") && key.key >= q.Get("From") && (q.Get("Target") == "" || key.key < q.Get("Target")) {
			found = append(found, o)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	page := found[:min(len(found), limit)]
	s.answer(w, http.StatusOK, rowsAnswer{Rows: page, HasMore: len(page) < len(found), RowVersion: version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	expired := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []row{}
		for _, o := range s.history {
			if o.RowVersion > after && o.Table == q.Get("Table") {
				found = append(found, o)
			}
		}
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if len(found) > 0 {
			s.answer(w, http.StatusOK, rowsAnswer{Rows: found, RowVersion: version})
			return
		}
		select {
		case <-changed:
		case <-expired:
			s.answer(w, http.StatusOK, rowsAnswer{Rows: found, RowVersion: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	time.Sleep(answerTime)
	a.NowMs = time.Since(s.started).Milliseconds() + 1
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies of the stand-ins can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the other side may be gone
}
