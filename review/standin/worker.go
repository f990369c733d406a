package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the settings of a small deployment.
const (
	maxHoldMS    = 10_000 // MaxHoldMs
	stopTime     = 100 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond // HeartbeatMs
	checkpointMS = 2000                    // CheckpointS
	restoreMS    = 100                     // RestoreMs
	listedEnds   = 500                     // ends in one response
	startupMS    = 400                     // of a task that lasts
)

type taskRun struct {
	task     string
	run      uint64
	spec     string
	workMS   int64 // 0: it lasts
	saves    bool
	resumed  int64 // work done before this run, in ms
	started  time.Time
	stopping bool
}

type ended struct {
	n      uint64
	task   string
	run    uint64
	how    string
	saved  string
	lapses int // leases that had lapsed when the run ended
}

// worker is the stand-in of one worker. It follows PROTOCOL.md, "Running tasks".
type worker struct {
	id, service string
	cpu, mem    int64
	store       *store
	check       *checker
	rec         *record
	address     string

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	labels   []string
	up       bool
	life     int
	bornMS   int64
	ahead    int64 // of its time of day, in ms, at its start
	bootedAt time.Time
	epoch    uint64
	leaseMS  int64
	leased   bool
	lapses   int
	runs     map[string]*taskRun // by task and run
	highest  map[string]uint64   // by task: highest run that was stopped or ended
	ends     []ended
	lastN    uint64
	wake     chan struct{}
}

// boot starts a life of the worker at its address, which the first boot chooses.
func (w *worker) boot() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address, w.listener = l.Addr().String(), l
	w.life++
	w.up, w.bornMS, w.bootedAt = true, time.Now().UnixMilli()+w.ahead, time.Now()
	w.epoch, w.leaseMS, w.leased, w.lapses, w.lastN = 0, 0, false, 0, 0
	w.runs, w.highest, w.ends, w.wake = make(map[string]*taskRun), make(map[string]uint64), nil, make(chan struct{})
	w.server = &http.Server{Handler: w}
	life, server := w.life, w.server
	w.mu.Unlock()
	w.report(1) // the store has the first report before the worker answers anybody
	go func() { _ = server.Serve(l) }()
	go w.work(life)
	go w.beat(life)
	return nil
}

// crash ends the life of the worker, with all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	w.life++
	for _, r := range w.runs {
		w.check.gone(w.id, r.task, r.run)
	}
	w.runs = make(map[string]*taskRun)
	w.wakeAll()
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// beat writes the further status reports of one life.
func (w *worker) beat(life int) {
	for seq := 2; ; seq++ {
		time.Sleep(heartbeat)
		w.mu.Lock()
		over := w.life != life
		w.mu.Unlock()
		if over {
			return
		}
		w.report(seq)
	}
}

// report writes the worker's entry to the store.
func (w *worker) report(seq int) {
	w.mu.Lock()
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "smolyan", "Version": "1.4.2", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": seq, "born": w.bornMS, "Capacity": map[string]any{"Cpu": w.cpu, "MemMb": w.mem, "Gpus": 0}, "Labels": w.labels,
	}
	w.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	w.store.put("servers", w.id, value)
}

func (w *worker) clock() int64 { return time.Since(w.bootedAt).Milliseconds() + 1000 }

// field returns a number of a Spec like "settle base=5000 spread=3000".
func field(spec, name string) int64 {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			n, _ := strconv.ParseInt(v, 10, 64)
			return n
		}
	}
	return 0
}

func hash32(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// workOf returns how long a task works: a fixed function of its name and Spec.
func workOf(spec, task string) int64 {
	base := field(spec, "base")
	if spread := field(spec, "spread"); spread > 0 {
		base += int64(hash32(task)) % spread
	}
	return base
}

func (r *taskRun) done() int64 { return r.resumed + time.Since(r.started).Milliseconds() }

func (r *taskRun) saved() string {
	if !r.saves {
		return ""
	}
	ms := max(r.done()/checkpointMS*checkpointMS, r.resumed)
	if r.stopping {
		ms = r.done()
	}
	if ms <= 0 {
		return ""
	}
	return fmt.Sprintf("%08x%08x", ms, hash32(r.task))
}

func (r *taskRun) percent() int64 {
	if r.workMS == 0 {
		return min(100, max(r.done(), 0)*100/startupMS)
	}
	return min(max(r.done(), 0)*100/r.workMS, 99)
}

// work ends the runs of one life whose work is done, and all of them when the lease
// has expired.
func (w *worker) work(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		if w.leased && w.clock() >= w.leaseMS {
			w.leased = false
			w.lapses++
			if len(w.runs) > 0 {
				w.rec.line("%s: the lease expired, %d runs are killed", w.id, len(w.runs))
			}
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		for _, r := range w.runs {
			if r.workMS > 0 && !r.stopping && r.done() >= r.workMS {
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func runKey(task string, run uint64) string { return task + "#" + strconv.FormatUint(run, 10) }

func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, runKey(r.task, r.run))
	w.lastN++
	w.highest[r.task] = max(w.highest[r.task], r.run)
	saved := r.saved()
	if how == "done" {
		saved = ""
	}
	w.ends = append(w.ends, ended{w.lastN, r.task, r.run, how, saved, w.lapses})
	w.check.ended(w.id, r.task, r.run, how)
	w.wakeAll()
}

func (w *worker) wakeAll() {
	close(w.wake)
	w.wake = make(chan struct{})
}

type order struct {
	Task         string `json:"Task"`
	Run          uint64 `json:"Run"`
	Spec         string `json:"Spec"`
	DeadlineMs   int64  `json:"DeadlineMs"`
	FencingToken uint64 `json:"FencingToken"`
	Checkpoint   string `json:"Checkpoint"`
	AckCursor    uint64 `json:"AckCursor"`
	WaitMs       int64  `json:"WaitMs"`
	Percent      int64  `json:"Percent"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Tamarackstep-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	life := w.life
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, reason := w.carryOut(r.URL.Path, &o)
	hold := strings.HasSuffix(r.URL.Path, "/hold") && status == http.StatusOK
	wake, listed := w.wake, len(w.ends) > 0
	w.mu.Unlock()
	if hold && !listed && o.WaitMs > 0 {
		select {
		case <-wake:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	if w.life != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"ClockMs": w.clock(), "born": w.bornMS}
	if reason != "" {
		body["Reason"] = reason
	}
	if hold {
		running, finished := [][]any{}, [][]any{}
		for _, t := range w.runs {
			running = append(running, []any{t.task, t.run, t.saved(), t.percent(), 0})
		}
		for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
			finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
		}
		body["Running"], body["Finished"] = running, finished
	}
	w.mu.Unlock()
	writeJSON(rw, status, body)
}

func (w *worker) carryOut(path string, o *order) (int, string) {
	if o.FencingToken < w.epoch {
		return http.StatusConflict, "fence"
	}
	w.epoch = o.FencingToken
	switch strings.TrimPrefix(path, "/tamarackstep/") {
	case "hold":
		w.extend(o.DeadlineMs)
		w.acknowledge(o.AckCursor)
	case "run-start":
		return w.start(o)
	case "run-stop":
		w.stop(o)
	case "pace":
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// extend prolongs the lease of everything that runs on the worker.
func (w *worker) extend(deadline int64) {
	if deadline > w.clock() {
		w.leaseMS = max(w.leaseMS, min(deadline, w.clock()+maxHoldMS))
		w.leased = true
	}
}

func (w *worker) acknowledge(cursor uint64) {
	for len(w.ends) > 0 && w.ends[0].n <= cursor {
		e := w.ends[0]
		w.ends = w.ends[1:]
		if e.lapses == w.lapses {
			w.check.noted(w.id, e.task, e.run, e.how)
		}
	}
}

func (w *worker) start(o *order) (int, string) {
	key := runKey(o.Task, o.Run)
	if w.runs[key] != nil {
		w.extend(o.DeadlineMs)
		return http.StatusOK, ""
	}
	if o.DeadlineMs <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(o.DeadlineMs)
	if w.highest[o.Task] >= o.Run {
		return http.StatusConflict, "old"
	}
	needCPU, needMem := w.check.need(o.Task)
	for _, r := range w.runs {
		cpu, mem := w.check.need(r.task)
		needCPU, needMem = needCPU+cpu, needMem+mem
	}
	if needCPU > w.cpu || needMem > w.mem {
		return http.StatusConflict, "room"
	}
	r := &taskRun{task: o.Task, run: o.Run, spec: o.Spec, started: time.Now(), workMS: workOf(o.Spec, o.Task), saves: field(o.Spec, "saves") == 1}
	if len(o.Checkpoint) == 16 {
		ms, _ := strconv.ParseInt(o.Checkpoint[:8], 16, 64)
		r.resumed, r.started = ms, r.started.Add(restoreMS*time.Millisecond)
	}
	w.runs[key] = r
	w.check.started(w, o)
	return http.StatusOK, ""
}

func (w *worker) stop(o *order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.runs[runKey(o.Task, o.Run)]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	life := w.life
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life && w.runs[runKey(o.Task, o.Run)] == r {
			w.end(r, "stopped")
		}
	})
}
