package jobplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// WorkerFaults is how a worker misbehaves at present.
type WorkerFaults struct {
	Fail bool    // fails what it starts
	Hang bool    // what it runs stands still
	Late float64 // share of the orders that are carried out seconds later, without an answer
}

const (
	stopTime     = 100 * time.Millisecond
	endsListed   = 500
	lateOrders   = 5 * time.Second // a late order is carried out within this time
	leaseTick    = 10 * time.Millisecond
	checkpointIn = 500 * time.Millisecond // of work
)

// TaskSpec is what the soak's jobs tell workers about a task, as JSON.
type TaskSpec struct {
	WorkMS    int64  `json:"work_ms"`
	FailEvery uint64 `json:"fail_every"` // each so many-th run fails; 0: none
}

type taskRun struct {
	task    string
	number  uint64
	spec    TaskSpec
	fails   bool
	worked  time.Duration
	since   time.Time // of the present pace
	percent int64
	stopped bool // its end is under way
}

type endedRun struct {
	number     uint64
	task       string
	run        uint64
	how        string
	checkpoint string
}

// Worker runs tasks under a lease on its own clock.
type Worker struct {
	ID, Address string
	Service     string
	Cores       int64 // thousandths
	Rate        float64

	store   *Store
	referee *Referee

	mu       sync.Mutex
	faults   WorkerFaults
	alive    bool
	draining bool
	life     int
	born     int64
	started  time.Time
	epoch    uint64
	leaseEnd int64 // on its clock
	runs     map[string]*taskRun
	highest  map[string]uint64
	ended    []endedRun
	lastEnd  uint64
	acked    uint64
	lapsedTo uint64 // ends up to this one were listed when the lease ran out
	wake     chan struct{}
}

// NewWorker returns a worker that is listed in the store once it boots. Rate is
// the speed of its clock.
func NewWorker(id, address, service string, cores int64, rate float64, store *Store, referee *Referee) *Worker {
	return &Worker{ID: id, Address: address, Service: service, Cores: cores, Rate: rate, store: store, referee: referee, wake: make(chan struct{})}
}

// Boot begins a life of the worker, in which it knows nothing of earlier ones.
func (w *Worker) Boot() {
	w.mu.Lock()
	w.life++
	w.alive, w.draining, w.started, w.born = true, false, time.Now(), time.Now().UnixMilli()
	w.epoch, w.leaseEnd, w.lastEnd, w.acked, w.lapsedTo = 0, 0, 0, 0, 0
	w.runs, w.highest, w.ended = make(map[string]*taskRun), make(map[string]uint64), nil
	life := w.life
	w.mu.Unlock()
	w.list()
	go w.live(life)
}

// Crash ends the worker's life at once.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive = false
	w.life++
	for _, r := range w.runs {
		w.referee.Ended(w, r.task, r.number, "crashed")
	}
	w.runs = make(map[string]*taskRun)
	w.signal()
}

// Unlist removes the worker's entry.
func (w *Worker) Unlist() { w.store.Remove("servers", w.ID) }

// Drain announces that the worker leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.list()
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	for _, r := range w.runs {
		w.repace(r, r.percent)
	}
}

// list writes the worker's entry to the store.
func (w *Worker) list() {
	w.mu.Lock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": w.Service, "Address": w.Address, "State": state, "RemainingMs": 2000, "born": w.born,
		"Capacity": map[string]any{"Cpu": w.Cores, "MemMb": 64000}, "Labels": []string{"a", "r1"},
	}
	w.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the entry is made of plain values
	}
	w.store.Put("servers", w.ID, value)
}

func (w *Worker) clock() int64 { return int64(float64(time.Since(w.started).Milliseconds()) * w.Rate) }

// live ends runs that are done and all runs when the lease is over.
func (w *Worker) live(life int) {
	tick := time.NewTicker(leaseTick)
	defer tick.Stop()
	for range tick.C {
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		if len(w.runs) > 0 && w.clock() >= w.leaseEnd {
			w.lapsedTo = w.lastEnd
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		for _, r := range w.runs {
			if r.spec.WorkMS > 0 && !r.stopped && w.work(r) >= time.Duration(r.spec.WorkMS)*time.Millisecond {
				if r.fails {
					w.end(r, "failed")
				} else {
					w.end(r, "done")
				}
			}
		}
		w.mu.Unlock()
	}
}

// work returns how much of its work a run has done.
func (w *Worker) work(r *taskRun) time.Duration {
	if w.faults.Hang {
		return r.worked
	}
	return r.worked + time.Since(r.since)*time.Duration(r.percent)/100
}

func (w *Worker) repace(r *taskRun, percent int64) {
	r.worked, r.since, r.percent = w.work(r), time.Now(), percent
}

// end lists the end of a run.
func (w *Worker) end(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.lastEnd++
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ended = append(w.ended, endedRun{w.lastEnd, r.task, r.number, how, w.checkpoint(r)})
	w.referee.Ended(w, r.task, r.number, how)
	w.signal()
}

// checkpoint names how much work of a task has been saved.
func (w *Worker) checkpoint(r *taskRun) string {
	saved := w.work(r) / checkpointIn * checkpointIn
	if saved <= 0 {
		return ""
	}
	return fmt.Sprintf("%s@%d", r.task, saved.Milliseconds())
}

func (w *Worker) signal() {
	close(w.wake)
	w.wake = make(chan struct{})
}

type orderBody struct {
	Task         string `json:"Task"`
	Run          uint64 `json:"Run"`
	Spec         string `json:"Spec"`
	DeadlineMs   int64  `json:"DeadlineMs"`
	FencingToken uint64 `json:"FencingToken"`
	Checkpoint   string `json:"Checkpoint"`
	Percent      int64  `json:"Percent"`
	AckCursor    uint64 `json:"AckCursor"`
	WaitMs       int64  `json:"WaitMs"`
}

// ServeHTTP serves the orders of the scheduler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	alive, life, late := w.alive, w.life, w.faults.Late
	w.mu.Unlock()
	switch {
	case !alive:
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Tamarackstep-Expect-Instance") != w.ID:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rand.Float64() < late {
		time.AfterFunc(time.Duration(rand.Int64N(int64(lateOrders))), func() { w.carryOut(r.URL.Path, o, life) })
		panic(http.ErrAbortHandler)
	}
	status, reason := w.carryOut(r.URL.Path, o, life)
	if r.URL.Path == "/tamarackstep/hold" && status == http.StatusOK {
		w.await(r, o)
	}
	w.answer(rw, r, status, reason)
}

// carryOut executes an order in the life that it was sent to.
func (w *Worker) carryOut(path string, o orderBody, life int) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.life != life:
		return http.StatusServiceUnavailable, ""
	case o.FencingToken < w.epoch:
		return http.StatusConflict, "fence"
	}
	w.epoch = o.FencingToken
	if path != "/tamarackstep/run-start" || o.DeadlineMs > w.clock() {
		w.leaseEnd = max(w.leaseEnd, min(o.DeadlineMs, w.clock()+MaxLease.Milliseconds()))
	}
	switch path {
	case "/tamarackstep/run-start":
		return w.start(o)
	case "/tamarackstep/run-stop":
		w.stop(o)
	case "/tamarackstep/pace":
		if r := w.runs[o.Task]; r != nil && r.number == o.Run {
			w.repace(r, o.Percent)
		}
	case "/tamarackstep/hold":
		w.acknowledge(o.AckCursor)
	}
	return http.StatusOK, ""
}

// MaxLease is the longest lease that a worker grants.
const MaxLease = 6 * time.Second

func (w *Worker) start(o orderBody) (int, string) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	used := int64(0)
	for _, r := range w.runs {
		used += w.referee.Cores(r.task)
	}
	switch {
	case w.highest[o.Task] >= o.Run:
		return http.StatusConflict, "old"
	case o.DeadlineMs <= w.clock():
		return http.StatusConflict, "late"
	case used+w.referee.Cores(o.Task) > w.Cores:
		return http.StatusConflict, "room"
	}
	var spec TaskSpec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		return http.StatusBadRequest, ""
	}
	w.referee.Started(w, o.Task, o.Run, o.Spec, o.Checkpoint)
	r := &taskRun{task: o.Task, number: o.Run, spec: spec, since: time.Now(), percent: 100}
	r.fails = w.faults.Fail || spec.FailEvery > 0 && o.Run%spec.FailEvery == 0
	w.runs[o.Task] = r
	return http.StatusOK, ""
}

func (w *Worker) stop(o orderBody) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run || r.stopped {
		return
	}
	r.stopped = true
	life := w.life
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life && w.runs[o.Task] == r {
			w.end(r, "stopped")
		}
	})
}

// acknowledge forgets ends. An end whose lease ran out before it was
// acknowledged does not count as taken note of.
func (w *Worker) acknowledge(cursor uint64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > cursor {
			kept = append(kept, e)
			continue
		}
		if e.number > w.lapsedTo {
			w.referee.Acknowledged(e.task, e.run, e.how)
		}
	}
	w.ended = kept
}

// await holds a look back until there is an end or its wait is over.
func (w *Worker) await(r *http.Request, o orderBody) {
	w.mu.Lock()
	wake, has := w.wake, len(w.ended) > 0
	w.mu.Unlock()
	if has || o.WaitMs == 0 {
		return
	}
	select {
	case <-wake:
	case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
	case <-r.Context().Done():
	}
}

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, status int, reason string) {
	w.mu.Lock()
	if !w.alive {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"ClockMs": w.clock(), "born": w.born}
	if reason != "" {
		body["Reason"] = reason
	}
	if r.URL.Path == "/tamarackstep/hold" && status == http.StatusOK {
		running, finished := [][]any{}, [][]any{}
		for _, t := range w.runs {
			percent := int64(100)
			if t.spec.WorkMS > 0 {
				percent = min(100, 100*w.work(t).Milliseconds()/t.spec.WorkMS)
			}
			running = append(running, []any{t.task, t.number, w.checkpoint(t), percent, 0})
		}
		for _, e := range w.ended[:min(len(w.ended), endsListed)] {
			finished = append(finished, []any{e.number, e.task, e.run, e.how, e.checkpoint})
		}
		body["Running"], body["Finished"] = running, finished
	}
	w.mu.Unlock()
	writeJSON(rw, status, body)
}

// Alive reports whether the worker is up.
func (w *Worker) Alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.alive
}
