package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store that PROTOCOL.md names.
const (
	pageRows  = 500
	pageBytes = 1_000_000
	callRows  = 100
	callBytes = 1 << 20
	rowBytes  = 64 << 10
	historyS  = 20 * time.Second
	txTime    = 8 * time.Millisecond
)

type row struct {
	Table      string `json:"Table"`
	Part       string `json:"part"`
	Key        string `json:"Key"`
	Value      []byte `json:"Value,omitempty"`
	RowVersion uint64 `json:"RowVersion"`
	Removed    bool   `json:"Removed,omitempty"`

	at time.Time
}

type rowID struct{ table, part, key string }

// store is the platform's metadata store in memory.
type store struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	gone    uint64 // the history up to this version is discarded
	rows    map[rowID]row
	history []row
	changed chan struct{}
	feeds   map[string]int // feeds that were asked for, by table

	// lateShare is the share of the transactions that get no answer and are performed later.
	lateShare, lostShare float64
	slow                 time.Duration
	down                 bool
	rand                 func() float64
}

func newStore(random func() float64) *store {
	return &store{start: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{}), feeds: map[string]int{}, rand: random}
}

func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value})
	s.wake()
	return s.version
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Removed: true})
	s.wake()
}

func (s *store) set(r row) {
	r.RowVersion, r.at = s.version, time.Now()
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		r.Value = nil
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyS {
		s.gone = s.history[0].RowVersion
		s.history = s.history[1:]
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// feedCount returns how many feeds of a table were asked for.
func (s *store) feedCount(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feeds[table]
}

// value returns the value of a row, or nil.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID{table, part, key}].Value
}

type rowsAnswer struct {
	Rows       []row  `json:"rows"`
	HasMore    bool   `json:"HasMore"`
	RowVersion uint64 `json:"RowVersion"`
	NowMs      int64  `json:"NowMs"`
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.NowMs = time.Since(s.start).Milliseconds() + 1
	reply(w, status, a)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	slow, down := s.slow, s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(slow)
	switch r.URL.Path {
	case "/tamarackstep/rows-tx":
		s.serveTx(w, r)
	case "/tamarackstep/rows-get":
		s.serveGet(w, r)
	case "/tamarackstep/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type transaction struct {
	ExpectedRevision []row
	SetKeys          []row
	Remove           []row
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t transaction
	all := func() []row { return append(append(append([]row{}, t.ExpectedRevision...), t.SetKeys...), t.Remove...) }
	if json.Unmarshal(body, &t) != nil || len(body) > callBytes || len(all()) > callRows {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range all() {
		if e.Part != all()[0].Part || len(e.Value) > rowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	late, lost := s.rand() < s.lateShare, s.rand() < s.lostShare
	s.mu.Unlock()
	if late {
		time.AfterFunc(time.Duration(1000+5000*s.rand())*time.Millisecond, func() { s.commit(t) })
		panic(http.ErrAbortHandler)
	}
	current, version, ok := s.commit(t)
	if lost {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, rowsAnswer{Rows: current, RowVersion: version})
}

func (s *store) commit(t transaction) ([]row, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.ExpectedRevision {
		if s.rows[rowID{c.Table, c.Part, c.Key}].RowVersion == c.RowVersion {
			continue
		}
		var current []row
		for _, c := range t.ExpectedRevision {
			if found, ok := s.rows[rowID{c.Table, c.Part, c.Key}]; ok {
				current = append(current, found)
			}
		}
		return current, s.version, false
	}
	s.version++
	for _, e := range t.SetKeys {
		e.Removed = false
		s.set(e)
	}
	for _, e := range t.Remove {
		e.Removed = true
		s.set(e)
	}
	s.wake()
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
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, bytes := 0, 0
	for n < len(found) && n < limit && (n == 0 || bytes < pageBytes) {
		bytes += len(found[n].Value) * 4 / 3
		n++
	}
	s.answer(w, http.StatusOK, rowsAnswer{Rows: found[:n], HasMore: n < len(found), RowVersion: version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	s.mu.Lock()
	s.feeds[q.Get("Table")]++
	s.mu.Unlock()
	expired := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		gone := after < s.gone
		var found []row
		for _, e := range s.history {
			if e.RowVersion > after && e.Table == q.Get("Table") {
				found = append(found, e)
			}
		}
		changed, version := s.changed, s.version
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(found) > pageRows:
			found = found[:pageRows]
			s.answer(w, http.StatusOK, rowsAnswer{Rows: found, RowVersion: found[pageRows-1].RowVersion})
			return
		case len(found) > 0:
			s.answer(w, http.StatusOK, rowsAnswer{Rows: found, RowVersion: version})
			return
		}
		select {
		case <-changed:
		case <-expired:
			s.answer(w, http.StatusOK, rowsAnswer{RowVersion: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}
