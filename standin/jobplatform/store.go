package jobplatform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults is how the store misbehaves at present.
type StoreFaults struct {
	Refuse bool          // answers 503
	Silent bool          // does not answer
	Slow   time.Duration // added to each answer
	Lost   float64       // share of the transactions that are performed without an answer
	Late   float64       // share of the transactions that are performed seconds later, without an answer
}

const (
	maxPage      = 500             // rows of one answer
	lateMost     = 3 * time.Second // a late transaction is performed within this time
	historyRows  = 20_000
	maxFeedWait  = 30 * time.Second
	transactTime = 4 * time.Millisecond
)

// Row is a row of the store on the wire.
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

// Store is the platform's table store. It keeps rows in memory and loses nothing.
type Store struct {
	mu      sync.Mutex
	faults  StoreFaults
	started time.Time
	version uint64
	rows    map[rowID]Row
	history []Row  // changes in order
	oldest  uint64 // history before this version is gone
	changed chan struct{}
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

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Value: value})
	s.notify()
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Removed: true})
	s.notify()
}

func (s *Store) set(r Row) {
	r.RowVersion = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	if len(s.history) > historyRows {
		s.oldest = s.history[0].RowVersion
		s.history = s.history[1:]
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls about rows.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(faults.Slow)
	if faults.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/tamarackstep/rows-tx":
		s.transact(w, r, faults)
	case "/tamarackstep/rows-get":
		s.read(w, r)
	case "/tamarackstep/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type transaction struct {
	ExpectedRevision []Row `json:"ExpectedRevision"`
	SetKeys          []Row `json:"SetKeys"`
	Remove           []Row `json:"Remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, faults StoreFaults) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch draw := rand.Float64(); {
	case draw < faults.Late:
		time.AfterFunc(time.Duration(rand.Int64N(int64(lateMost))), func() { s.perform(t) })
		panic(http.ErrAbortHandler)
	case draw < faults.Late+faults.Lost:
		s.perform(t)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(transactTime)
	conflicts, version, ok := s.perform(t)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, rowsAnswer{Rows: conflicts, RowVersion: version})
}

// perform applies a transaction if its conditions hold, or returns their rows.
func (s *Store) perform(t transaction) ([]Row, uint64, bool) {
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
	s.notify()
	return nil, s.version, true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > maxPage {
		limit = maxPage
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
	answer := rowsAnswer{Rows: found, HasMore: len(found) > limit, RowVersion: version}
	if answer.HasMore {
		answer.Rows = found[:limit]
	}
	s.answer(w, http.StatusOK, answer)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	expired := time.After(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	for {
		s.mu.Lock()
		gone := after < s.oldest
		var found []Row
		for _, row := range s.history {
			if row.RowVersion > after && row.Table == q.Get("Table") {
				found = append(found, row)
			}
		}
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
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

func (s *Store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.NowMs = time.Since(s.started).Milliseconds() + 1
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies are plain types
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have left
}
