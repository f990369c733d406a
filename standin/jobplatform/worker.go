package jobplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// WorkerFaults are the faults that a worker injects.
type WorkerFaults struct {
	FailAll         bool    // every run that it starts fails
	StallRuns       bool    // its runs make no progress
	LateCommandRate float64 // share of the commands that are executed up to maxCommandDelay later, without an answer, 0 to 1
	// LateCommandsOutlive has late commands executed by the incarnation that is alive at
	// that time. Otherwise they end with the incarnation that received them.
	LateCommandsOutlive bool
	MaxAnswerDelay      time.Duration // answers leave up to so much after the effect, so that they overtake each other
	RefusalRate         float64       // share of the commands that are answered with 429 or 503 and not executed, 0 to 1
}

const (
	stopDelay          = 100 * time.Millisecond
	maxCommandDelay    = 5 * time.Second // delay within which a late command is executed
	tickInterval       = 10 * time.Millisecond
	checkpointInterval = 500 * time.Millisecond // of work
	maxClockOrigin     = 3 * time.Hour          // below which the clock of an incarnation begins
)

// MaxListedEnds is the number of ends that one answer lists.
const MaxListedEnds = 500

// TaskSpec is the specification of a task in the jobs of the soak test, as JSON.
type TaskSpec struct {
	WorkMS    int64  `json:"work_ms"`    // 0: runs until it is stopped
	FailEvery uint64 `json:"fail_every"` // every run whose number is a multiple of this fails; 0: none
}

type taskRun struct {
	task         string
	run          uint64
	spec         TaskSpec
	willFail     bool
	workBefore   time.Duration // work done before speedSince
	speedSince   time.Time     // start of the current speed
	speedPercent int64
	stopping     bool // stop was requested; the run ends after stopDelay
}

// runKey identifies a run on a worker.
type runKey struct {
	task string
	run  uint64
}

type endedRun struct {
	number     uint64 // counts the ends of one incarnation of the worker, from 1
	task       string
	run        uint64
	outcome    string
	checkpoint string
}

// Worker runs simulated tasks under a lease on its own clock. It is safe for
// concurrent use.
type Worker struct {
	ID, Address string
	Service     string
	Rack        string
	Zone        string
	MilliCores  int64         // capacity in thousandths of a processor
	ClockRate   float64       // speed of its clock relative to real time
	MaxLease    time.Duration // longest lease that it grants
	Overcommits bool          // it starts what does not fit

	store   *Store
	checker *Checker

	mu               sync.Mutex
	faults           WorkerFaults
	kind             string // label
	alive            bool
	draining         bool
	incarnation      int   // grows with each boot and each crash
	bootedMS         int64 // Unix milliseconds
	bootedAt         time.Time
	clockOriginMS    int64               // what its clock showed at bootedAt
	epoch            uint64              // highest fencing token seen
	leaseEndMS       int64               // on its clock
	runs             map[runKey]*taskRun // several of one task if the scheduler orders them
	highestRun       map[string]uint64   // by task: the highest run that ended or was stopped
	ended            []endedRun          // not acknowledged yet, oldest first
	lastEndNumber    uint64
	acknowledgedUpTo uint64
	mostEnds         int           // not acknowledged at once, in any incarnation
	listedAtExpiry   uint64        // ends up to this number were listed when the lease expired
	wakeup           chan struct{} // closed and replaced at each end and at a crash
}

// NewWorker returns a worker that registers in the store when it boots. clockRate
// is the speed of its clock relative to real time.
func NewWorker(id, address, service, rack string, milliCores int64, clockRate float64, store *Store, checker *Checker) *Worker {
	return &Worker{ID: id, Address: address, Service: service, Rack: rack, MilliCores: milliCores, ClockRate: clockRate, MaxLease: DefaultMaxLease, kind: DefaultKind, store: store, checker: checker, wakeup: make(chan struct{})}
}

// BootOptions say how an incarnation differs from one that starts in the usual way.
type BootOptions struct {
	Unregistered bool          // it writes no entry until Register is called
	Kind         string        // its label; empty: as before
	BornEarlier  time.Duration // its start time is so much lower than that of the former incarnation; 0: it is the time of its start
}

// Boot starts a new incarnation of the worker, which keeps no state of earlier
// ones.
func (w *Worker) Boot() { w.BootWith(BootOptions{}) }

// BootWith starts a new incarnation with options.
func (w *Worker) BootWith(options BootOptions) {
	w.mu.Lock()
	w.incarnation++
	w.alive, w.draining, w.bootedAt = true, false, time.Now()
	if options.Kind != "" {
		w.kind = options.Kind
	}
	if options.BornEarlier > 0 {
		w.bootedMS -= options.BornEarlier.Milliseconds()
	} else {
		w.bootedMS = time.Now().UnixMilli()
	}
	w.epoch, w.leaseEndMS, w.lastEndNumber, w.acknowledgedUpTo, w.listedAtExpiry = 0, 0, 0, 0, 0
	w.runs, w.highestRun, w.ended = make(map[runKey]*taskRun), make(map[string]uint64), nil
	w.clockOriginMS = rand.Int64N(maxClockOrigin.Milliseconds())
	incarnation := w.incarnation
	w.mu.Unlock()
	if !options.Unregistered {
		w.Register()
	}
	go w.runTasks(incarnation)
}

// Crash ends the current incarnation and all its runs at once.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive = false
	for _, r := range w.runs {
		w.checker.RunEnded(w, r.task, r.run, "crashed")
	}
	w.incarnation++
	w.runs = make(map[runKey]*taskRun)
	w.wakeWaiters()
}

// Deregister removes the worker's entry from the store.
func (w *Worker) Deregister() { w.store.Remove("servers", w.ID) }

// Drain marks the worker's entry in the store as draining.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.Register()
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.setSpeed(r, r.speedPercent) // the work so far counts under the former faults
	}
	w.faults = f
}

// Register writes the worker's entry to the store.
func (w *Worker) Register() {
	w.mu.Lock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": w.Service, "Address": w.Address, "Zone": w.Zone, "State": state, "RemainingMs": 2000, "born": w.bootedMS,
		"Capacity": map[string]any{"Cpu": w.MilliCores, "MemMb": 64000}, "Labels": w.labels(),
	}
	w.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the entry can always be encoded
	}
	w.store.Put("servers", w.ID, value)
}

// labels returns the worker's kind and its rack. The worker's lock is held.
func (w *Worker) labels() []string { return []string{w.kind, w.Rack} }

// clockMS returns the time on the worker's clock in milliseconds. It begins anew with
// each incarnation, at any value.
func (w *Worker) clockMS() int64 {
	return w.clockOriginMS + int64(float64(time.Since(w.bootedAt).Milliseconds())*w.ClockRate)
}

// runTasks ends runs whose work is done, and all runs when the lease expires. It
// returns when the incarnation ends.
func (w *Worker) runTasks(incarnation int) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for range tick.C {
		w.mu.Lock()
		if w.incarnation != incarnation {
			w.mu.Unlock()
			return
		}
		// The lease also expires while nothing runs: ends that are acknowledged only
		// after that do not count as noted.
		if w.clockMS() >= w.leaseEndMS {
			w.listedAtExpiry = w.lastEndNumber
			for _, r := range w.runs {
				w.endRun(r, "lapsed")
			}
		}
		for _, r := range w.runs {
			if r.spec.WorkMS > 0 && !r.stopping && w.workDone(r) >= time.Duration(r.spec.WorkMS)*time.Millisecond {
				if r.willFail {
					w.endRun(r, "failed")
				} else {
					w.endRun(r, "done")
				}
			}
		}
		w.mu.Unlock()
	}
}

// workDone returns how much work a run has done.
func (w *Worker) workDone(r *taskRun) time.Duration {
	if w.faults.StallRuns {
		return r.workBefore
	}
	return r.workBefore + time.Since(r.speedSince)*time.Duration(r.speedPercent)/100
}

// setSpeed runs a task at the given percentage of full speed from now on.
func (w *Worker) setSpeed(r *taskRun, percent int64) {
	r.workBefore, r.speedSince, r.speedPercent = w.workDone(r), time.Now(), percent
}

// endRun ends a run and lists its end until it is acknowledged.
func (w *Worker) endRun(r *taskRun, outcome string) {
	delete(w.runs, runKey{r.task, r.run})
	w.lastEndNumber++
	w.highestRun[r.task] = max(w.highestRun[r.task], r.run)
	w.ended = append(w.ended, endedRun{w.lastEndNumber, r.task, r.run, outcome, w.checkpointName(r)})
	w.mostEnds = max(w.mostEnds, len(w.ended))
	w.checker.RunEnded(w, r.task, r.run, outcome)
	w.wakeWaiters()
}

// checkpointName returns the name of the latest checkpoint of a run, which holds
// the task and the saved work in milliseconds, or "" before the first.
func (w *Worker) checkpointName(r *taskRun) string {
	saved := w.workDone(r) / checkpointInterval * checkpointInterval
	if saved <= 0 {
		return ""
	}
	return fmt.Sprintf("%s@%d", r.task, saved.Milliseconds())
}

// wakeWaiters wakes the requests that wait for the end of a run.
func (w *Worker) wakeWaiters() {
	close(w.wakeup)
	w.wakeup = make(chan struct{})
}

// command is the body of a request of the scheduler.
type command struct {
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

// ServeHTTP executes the commands of the scheduler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var cmd command
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	alive, incarnation, faults := w.alive, w.incarnation, w.faults
	w.mu.Unlock()
	switch {
	case !alive:
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Tamarackstep-Expect-Instance") != w.ID:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rand.Float64() < faults.LateCommandRate {
		time.AfterFunc(rand.N(maxCommandDelay), func() { w.executeLate(r.URL.Path, cmd, incarnation, faults.LateCommandsOutlive) })
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < faults.RefusalRate {
		rw.WriteHeader([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable}[rand.IntN(2)])
		return
	}
	status, reason := w.execute(r.URL.Path, cmd, incarnation)
	if r.URL.Path == "/tamarackstep/hold" && status == http.StatusOK {
		w.waitForEnd(r, cmd)
	}
	w.writeAnswer(rw, r, status, reason, faults.MaxAnswerDelay)
}

// executeLate executes a command that was held up. The next incarnation of the worker
// executes it only if the command outlives the one that received it.
func (w *Worker) executeLate(path string, cmd command, incarnation int, outlives bool) {
	if outlives {
		w.mu.Lock()
		alive := w.alive
		incarnation = w.incarnation
		w.mu.Unlock()
		if !alive {
			return
		}
	}
	w.execute(path, cmd, incarnation)
}

// execute applies a command, unless the incarnation that received it has ended or
// the fencing token is older than the highest seen.
func (w *Worker) execute(path string, cmd command, incarnation int) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.incarnation != incarnation:
		return http.StatusServiceUnavailable, ""
	case cmd.FencingToken < w.epoch:
		return http.StatusConflict, "fence"
	}
	w.epoch = cmd.FencingToken
	if path != "/tamarackstep/run-start" || cmd.DeadlineMs > w.clockMS() {
		w.leaseEndMS = max(w.leaseEndMS, min(cmd.DeadlineMs, w.clockMS()+w.MaxLease.Milliseconds()))
	}
	switch path {
	case "/tamarackstep/run-start":
		return w.startRun(cmd)
	case "/tamarackstep/run-stop":
		w.stopRun(cmd)
	case "/tamarackstep/pace":
		if r := w.runs[runKey{cmd.Task, cmd.Run}]; r != nil {
			w.setSpeed(r, cmd.Percent)
		}
	case "/tamarackstep/hold":
		w.acknowledge(cmd.AckCursor)
	}
	return http.StatusOK, ""
}

// Defaults of a worker.
const (
	DefaultMaxLease = 6 * time.Second
	DefaultKind     = "a"
)

// startRun starts a run, or returns the status and the reason of a refusal.
func (w *Worker) startRun(cmd command) (int, string) {
	if r := w.runs[runKey{cmd.Task, cmd.Run}]; r != nil {
		return http.StatusOK, ""
	}
	used := int64(0)
	for _, r := range w.runs {
		used += w.checker.TaskMilliCores(r.task)
	}
	switch {
	case w.highestRun[cmd.Task] >= cmd.Run:
		return http.StatusConflict, "old"
	case cmd.DeadlineMs <= w.clockMS():
		return http.StatusConflict, "late"
	case !w.Overcommits && used+w.checker.TaskMilliCores(cmd.Task) > w.MilliCores:
		return http.StatusConflict, "room"
	}
	var spec TaskSpec
	if err := json.Unmarshal([]byte(cmd.Spec), &spec); err != nil {
		return http.StatusBadRequest, ""
	}
	w.checker.RunStarted(w, cmd.Task, cmd.Run, cmd.Spec, cmd.Checkpoint)
	r := &taskRun{task: cmd.Task, run: cmd.Run, spec: spec, speedSince: time.Now(), speedPercent: 100}
	r.willFail = w.faults.FailAll || spec.FailEvery > 0 && cmd.Run%spec.FailEvery == 0
	w.runs[runKey{cmd.Task, cmd.Run}] = r
	return http.StatusOK, ""
}

// stopRun ends a run after stopDelay and refuses later starts of it.
func (w *Worker) stopRun(cmd command) {
	w.highestRun[cmd.Task] = max(w.highestRun[cmd.Task], cmd.Run)
	key := runKey{cmd.Task, cmd.Run}
	r := w.runs[key]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	incarnation := w.incarnation
	time.AfterFunc(stopDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == incarnation && w.runs[key] == r {
			w.endRun(r, "stopped")
		}
	})
}

// acknowledge removes the ends up to the cursor. Ends that were still unacknowledged
// when the lease expired are not reported to the checker as acknowledged.
func (w *Worker) acknowledge(cursor uint64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > cursor {
			kept = append(kept, e)
			continue
		}
		if e.number > w.listedAtExpiry {
			w.checker.EndAcknowledged(w, e.task, e.run, e.outcome)
		}
	}
	w.ended = kept
}

// waitForEnd delays the answer to a hold request until a run has ended or the wait
// of the request is over.
func (w *Worker) waitForEnd(r *http.Request, cmd command) {
	w.mu.Lock()
	wakeup, hasEnds := w.wakeup, len(w.ended) > 0
	w.mu.Unlock()
	if hasEnds || cmd.WaitMs == 0 {
		return
	}
	select {
	case <-wakeup:
	case <-time.After(time.Duration(cmd.WaitMs) * time.Millisecond):
	case <-r.Context().Done():
	}
}

// writeAnswer sends an answer of the state at this moment after a delay up to maxDelay.
func (w *Worker) writeAnswer(rw http.ResponseWriter, r *http.Request, status int, reason string, maxDelay time.Duration) {
	body, ok := w.answerBody(r, status, reason)
	if maxDelay > 0 {
		time.Sleep(rand.N(maxDelay))
	}
	if !ok || !w.Alive() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, status, body)
}

// answerBody returns false if the worker is not alive.
func (w *Worker) answerBody(r *http.Request, status int, reason string) (map[string]any, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive {
		return nil, false
	}
	body := map[string]any{"ClockMs": w.clockMS()}
	if reason != "" {
		body["Reason"] = reason
	}
	if r.URL.Path == "/tamarackstep/hold" && status == http.StatusOK {
		running, finished := [][]any{}, [][]any{}
		for _, t := range w.runs {
			percent := int64(100)
			if t.spec.WorkMS > 0 {
				percent = min(100, 100*w.workDone(t).Milliseconds()/t.spec.WorkMS)
			}
			running = append(running, []any{t.task, t.run, w.checkpointName(t), percent, 0})
		}
		for _, e := range w.ended[:min(len(w.ended), MaxListedEnds)] {
			finished = append(finished, []any{e.number, e.task, e.run, e.outcome, e.checkpoint})
		}
		// Only the lists name the incarnation, answers to commands do not.
		body["Running"], body["Finished"], body["born"] = running, finished, w.bootedMS
	}
	return body, true
}

// MostEnds returns the highest number of ends that were not acknowledged at one time.
func (w *Worker) MostEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mostEnds
}

// Alive reports whether the worker is booted and has not crashed.
func (w *Worker) Alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.alive
}
