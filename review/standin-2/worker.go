package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	stopTime    = 100 * time.Millisecond // of a run, below StopTimeoutMs
	startupTime = 400 * time.Millisecond // of a task that lasts
	commandTime = 5 * time.Millisecond   // that a worker takes for an order
	tick        = 10 * time.Millisecond
	maxEnds     = 500 // listed in one answer

	workersPerRack = 8
	missedBeats    = 3 // after which an entry is removed
)

// taskSpec is the Spec of the jobs of the cases.
type taskSpec struct {
	WorkMs int64 `json:"work_ms"` // 0: the task lasts
	// MeanFailMs is the mean time after which a run fails, at random; 0: none does.
	MeanFailMs int64 `json:"mean_fail_ms"`
}

// run is a run of a task on a worker.
type run struct {
	task     string
	number   uint64
	spec     taskSpec
	step     *step
	started  time.Time
	fails    time.Time // when it fails; zero: it does not
	stopping time.Time // when a stop ends it; zero: no stop was ordered
}

type endedRun struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// worker is a sound worker that guards its capacity.
type worker struct {
	id      string
	kind    string // label
	rack    string
	cpu     int64
	memMb   int64
	store   *store
	checker *checker
	address string
	ear     *listener

	mu       sync.Mutex
	origin   time.Time // of its clock
	born     int64
	sequence int
	fence    uint64
	leaseEnd int64 // on its clock
	runs     map[string]*run
	highest  map[string]uint64 // by task: the highest run that ended or was stopped
	ends     []endedRun
	lastEnd  uint64
	wakeup   chan struct{}
	gone     bool
}

func newWorker(number int, kind string, cpu int64, s *store, c *checker) (*worker, error) {
	w := &worker{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), kind: kind, rack: fmt.Sprintf("r1-%02d", number/workersPerRack), cpu: cpu, memMb: 128000, store: s, checker: c,
		origin: time.Now().Add(-time.Duration(rand.IntN(3600)) * time.Second), born: time.Now().UnixMilli(),
		runs: make(map[string]*run), highest: make(map[string]uint64), wakeup: make(chan struct{}),
	}
	var err error
	if w.ear, err = listen(loopbackIP()); err != nil {
		return nil, err
	}
	w.address = w.ear.Addr().String()
	go func() { _ = (&http.Server{Handler: w}).Serve(w.ear) }()
	go w.work()
	go w.beat()
	return w, nil
}

// beat writes the worker's entry.
func (w *worker) beat() {
	for ; ; time.Sleep(heartbeat) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.sequence++
		entry := map[string]any{
			"Service": serviceName, "Address": w.address, "Zone": "aba-a", "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]any{"Cpu": w.cpu, "MemMb": w.memMb, "Gpus": 0}, "Labels": []string{w.kind, w.rack}, "ClockMs": w.clock(),
			"Sequence": w.sequence, "born": w.born, "Machine": "m-" + w.id[2:],
		}
		w.mu.Unlock()
		w.store.put("servers", w.id, entry)
	}
}

// loseForGood crashes the worker. It runs nothing from then on, its address answers nobody,
// and its entry is removed after three status reports.
func (w *worker) loseForGood() {
	w.mu.Lock()
	w.gone = true
	for _, r := range w.sorted() {
		w.end(r, "crashed")
	}
	w.mu.Unlock()
	_ = w.ear.Close()
	w.ear.reset()
	w.checker.lost(w)
	time.AfterFunc(missedBeats*heartbeat, func() { w.store.remove("servers", w.id) })
}

func (w *worker) clock() int64 { return time.Since(w.origin).Milliseconds() }

// work ends the runs whose time has come.
func (w *worker) work() {
	for range time.Tick(tick) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		lapsed := w.clock() >= w.leaseEnd
		for _, r := range w.sorted() {
			elapsed := time.Since(r.started).Milliseconds()
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case !r.stopping.IsZero():
				if time.Now().After(r.stopping) {
					w.end(r, "stopped")
				}
			case !r.fails.IsZero() && time.Now().After(r.fails):
				w.end(r, "failed")
			case r.spec.WorkMs > 0 && elapsed >= r.spec.WorkMs:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) sorted() []*run {
	var all []*run
	for _, r := range w.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return a.started.Compare(b.started) })
	return all
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.lastEnd++
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ends = append(w.ends, endedRun{w.lastEnd, r.task, r.number, how})
	w.checker.ended(w, r, how)
	close(w.wakeup)
	w.wakeup = make(chan struct{})
}

// percent returns how far a run is, as a whole number.
func (r *run) percent() int64 {
	elapsed, whole := time.Since(r.started).Milliseconds(), r.spec.WorkMs
	if whole == 0 {
		whole = startupTime.Milliseconds()
	}
	return min(100*elapsed/whole, 100)
}

type order struct {
	Task         string
	Run          uint64
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckCursor    uint64
	WaitMs       int64
}

// ServeHTTP carries out an order.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Tamarackstep-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(commandTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FencingToken < w.fence {
		writeJSON(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": "fence"})
		return
	}
	w.fence = o.FencingToken
	w.leaseEnd = max(w.leaseEnd, min(o.DeadlineMs, w.clock()+maxHold.Milliseconds()))
	reason := ""
	switch r.URL.Path {
	case "/tamarackstep/run-start":
		reason = w.start(&o)
	case "/tamarackstep/run-stop":
		w.stop(&o)
	case "/tamarackstep/hold":
		w.hold(rw, r, &o)
		return
	case "/tamarackstep/pace":
	default:
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if reason != "" {
		writeJSON(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

// used returns what the runs take of the worker.
func (w *worker) used() (cpu, memMb int64) {
	for _, r := range w.runs {
		cpu, memMb = cpu+r.step.Cpu, memMb+r.step.MemMb
	}
	return cpu, memMb
}

// start starts a run, or returns why it does not.
func (w *worker) start(o *order) string {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	step := w.checker.stepOf(o.Task)
	cpu, memMb := w.used()
	switch {
	case w.highest[o.Task] >= o.Run || w.runs[o.Task] != nil:
		return "old"
	case o.DeadlineMs <= w.clock():
		return "late"
	case step == nil || cpu+step.Cpu > w.cpu || memMb+step.MemMb > w.memMb:
		return "room"
	}
	r := &run{task: o.Task, number: o.Run, step: step, started: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &r.spec); err != nil {
		return "room"
	}
	if r.spec.MeanFailMs > 0 {
		r.fails = r.started.Add(time.Duration(rand.ExpFloat64() * float64(r.spec.MeanFailMs) * float64(time.Millisecond)))
	}
	w.runs[o.Task] = r
	w.checker.started(w, r)
	return ""
}

func (w *worker) stop(o *order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopping.IsZero() {
		r.stopping = time.Now().Add(stopTime)
		w.checker.rec.log("worker", "%s is told to stop %s run %d at %d percent", w.id, r.task, r.number, r.percent())
	}
}

// hold forgets acknowledged ends, waits for an end if there is none, and lists all.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	w.ends = slices.DeleteFunc(w.ends, func(e endedRun) bool { return e.number <= o.AckCursor })
	if len(w.ends) == 0 && o.WaitMs > 0 {
		wakeup := w.wakeup
		w.mu.Unlock()
		select {
		case <-wakeup:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range w.sorted() {
		running = append(running, []any{t.task, t.number, "", t.percent(), t.step.Cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "Finished": finished})
}
