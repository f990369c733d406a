package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// bounds are the figures of the deployment, as in the settings of its hosts.
type bounds struct {
	maxHold, stopTimeout, gangTimeout, restore, checkpointEvery, cancel, ack, contact, drain time.Duration
	early                                                                                    time.Duration
}

var limits = bounds{
	maxHold: 10 * time.Second, stopTimeout: 400 * time.Millisecond, gangTimeout: 3 * time.Second, restore: 100 * time.Millisecond,
	checkpointEvery: 2 * time.Second, cancel: 3 * time.Second, ack: 4 * time.Second, contact: 3 * time.Second, drain: 2 * time.Second,
	early: 250 * time.Millisecond,
}

type runKey struct {
	task string
	run  uint64
}

type taskRun struct {
	key      runKey
	job      *job
	step     *step
	began    time.Time
	work     time.Duration // of the whole task
	done     time.Duration // work so far
	worked   time.Time     // until when done counts
	percent  int           // speed
	stopping bool
	present  bool // all members of its gang run
	fails    bool
}

type end struct {
	number uint64
	key    runKey
	how    string
	saved  string
}

// worker is one lifetime after another of a worker under one id.
type worker struct {
	w       *world
	id      string
	service string
	zone    string
	labels  []string
	cpu     int64
	mem     int64
	guards  bool
	address string

	alive, draining bool
	life            int
	born            int64
	bootedAt        time.Time
	origin          int64
	epoch           uint64
	lease           int64 // on its clock
	lapsed          bool
	runs            map[runKey]*taskRun
	highest         map[string]uint64
	ends            []end
	lastEnd         uint64
	wake            chan struct{}

	lateShare float64 // of the orders: carried out 2 to 12 s later, without an answer
	lostShare float64 // of the orders: carried out, and the answer is lost
	failAll   bool
}

func (w *worker) clock() int64 {
	return w.origin + int64(float64(time.Since(w.bootedAt).Milliseconds())*0.99)
}

func (w *worker) boot() {
	w.w.mu.Lock()
	w.life++
	w.alive, w.draining = true, false
	w.bootedAt, w.born = time.Now(), time.Now().UnixMilli()
	w.origin = int64(w.w.rand() * 3e6)
	w.epoch, w.lease, w.lastEnd, w.lapsed = 0, 0, 0, false
	w.runs, w.highest, w.ends = map[runKey]*taskRun{}, map[string]uint64{}, nil
	w.wake = make(chan struct{})
	w.w.mu.Unlock()
	w.register()
}

func (w *worker) register() {
	w.w.mu.Lock()
	state, cold := "ready", 0
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "1", "Slots": 8, "ColdRemainingMs": cold,
		"Sequence": time.Now().UnixMilli() - w.born, "born": w.born, "Capacity": map[string]any{"Cpu": w.cpu, "MemMb": w.mem, "Gpus": 0}, "Labels": w.labels,
	}
	if w.draining {
		state = "draining"
		entry["RemainingMs"] = 2000
	}
	entry["State"] = state
	w.w.mu.Unlock()
	data, _ := json.Marshal(entry)
	w.w.store.put("servers", w.id, data)
}

// crash ends the lifetime and all that runs.
func (w *worker) crash() {
	w.w.mu.Lock()
	defer w.w.mu.Unlock()
	w.alive = false
	for _, r := range w.runs {
		w.w.ended(w, r, "crashed", false)
	}
	w.life++
	w.runs = map[runKey]*taskRun{}
	close(w.wake)
	w.wake = make(chan struct{})
}

// endRun ends a run and lists its end. The world's lock is held.
func (w *worker) endRun(r *taskRun, how string) {
	delete(w.runs, r.key)
	w.lastEnd++
	w.highest[r.key.task] = max(w.highest[r.key.task], r.key.run)
	w.ends = append(w.ends, end{w.lastEnd, r.key, how, w.saved(r)})
	w.w.ended(w, r, how, true)
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) saved(r *taskRun) string {
	n := r.done / limits.checkpointEvery * limits.checkpointEvery
	if r.stopping {
		n = r.done
	}
	if !r.step.SavesProgress || n <= 0 {
		return ""
	}
	return fmt.Sprintf("%010x%s", n.Milliseconds(), r.job.id[:6])
}

type order struct {
	Task         string
	Run          uint64
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	Checkpoint   string
	Percent      int
	AckCursor    uint64
	WaitMs       int64
	Ticket       string
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.w.mu.Lock()
	alive, life := w.alive, w.life
	late, lost := w.w.rand() < w.lateShare, w.w.rand() < w.lostShare
	w.w.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Tamarackstep-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late {
		delay := time.Duration(2000+10000*w.w.rand()) * time.Millisecond
		time.AfterFunc(delay, func() { w.carryOut(r.URL.Path, o, life, true) })
		<-r.Context().Done()
		return
	}
	status, reason := w.carryOut(r.URL.Path, o, life, false)
	if lost {
		<-r.Context().Done()
		return
	}
	hold := r.URL.Path == "/tamarackstep/hold"
	if hold && status == http.StatusOK && o.WaitMs > 0 {
		w.w.mu.Lock()
		wake, listed := w.wake, len(w.ends) > 0
		w.w.mu.Unlock()
		if !listed {
			select {
			case <-wake:
			case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}
	w.w.mu.Lock()
	if !w.alive || w.life != life {
		w.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"ClockMs": w.clock(), "born": w.born}
	if reason != "" {
		body["Reason"] = reason
	}
	if hold && status == http.StatusOK {
		running, finished := [][]any{}, [][]any{}
		for _, t := range w.runs {
			running = append(running, []any{t.key.task, t.key.run, w.saved(t), t.shownPercent(), t.step.Cpu})
		}
		for i, e := range w.ends {
			if i < 500 {
				finished = append(finished, []any{e.number, e.key.task, e.key.run, e.how, e.saved})
			}
		}
		body["Running"], body["Finished"] = running, finished
	}
	w.w.mu.Unlock()
	reply(rw, status, body)
}

func (r *taskRun) shownPercent() int {
	if r.step.Persistent {
		if time.Since(r.began) > 300*time.Millisecond {
			return 100
		}
		return int(time.Since(r.began).Milliseconds() / 3)
	}
	return min(100, int(100*r.done/max(r.work, 1)))
}

// carryOut carries out an order on the lifetime that it reached.
func (w *worker) carryOut(path string, o order, life int, late bool) (int, string) {
	w.w.mu.Lock()
	defer w.w.mu.Unlock()
	if !w.alive || w.life != life {
		return http.StatusServiceUnavailable, ""
	}
	if o.FencingToken < w.epoch {
		return http.StatusConflict, "fence"
	}
	w.epoch = o.FencingToken
	now := w.clock()
	if o.DeadlineMs > now {
		w.lease = max(w.lease, min(o.DeadlineMs, now+limits.maxHold.Milliseconds()))
		w.lapsed = false
	}
	key := runKey{o.Task, o.Run}
	switch path {
	case "/tamarackstep/run-start":
		return w.start(key, o, now, late)
	case "/tamarackstep/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.runs[key]; r != nil && !r.stopping {
			r.stopping = true
			time.AfterFunc(limits.stopTimeout/2, func() {
				w.w.mu.Lock()
				defer w.w.mu.Unlock()
				if w.life == life && w.runs[key] == r {
					w.endRun(r, "stopped")
				}
			})
		}
	case "/tamarackstep/pace":
		if r := w.runs[key]; r != nil {
			r.percent = min(max(o.Percent, 0), 100)
		}
	case "/tamarackstep/hold":
		kept := w.ends[:0:0]
		for _, e := range w.ends {
			if e.number > o.AckCursor {
				kept = append(kept, e)
				continue
			}
			w.w.noted(w, e)
		}
		w.ends = kept
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

func (w *worker) start(key runKey, o order, now int64, late bool) (int, string) {
	if w.runs[key] != nil {
		return http.StatusOK, ""
	}
	if w.highest[key.task] >= key.run {
		return http.StatusConflict, "old"
	}
	if o.DeadlineMs <= now {
		return http.StatusConflict, "late"
	}
	j, s, ref, ok := w.w.taskOf(key.task)
	if !ok {
		w.w.breach("UNASKED", "%s run %d on %s: no requester sent it", key.task, key.run, w.id)
		return http.StatusBadRequest, ""
	}
	if w.guards {
		cpu, mem := w.taken()
		if cpu+s.cpu() > w.cpu || mem+s.MemMb > w.mem {
			return http.StatusConflict, "room"
		}
	}
	if w.w.advice != nil && w.w.advice.needed(j.queue) && !w.w.advice.valid(o.Ticket, key.task, w) {
		return http.StatusConflict, "ticket"
	}
	r := &taskRun{key: key, job: j, step: s, began: time.Now(), worked: time.Now(), percent: 100, work: s.workOf(ref), fails: w.failAll || s.failsRun(ref, key.run)}
	if o.Checkpoint != "" {
		var n int64
		fmt.Sscanf(o.Checkpoint[:min(10, len(o.Checkpoint))], "%x", &n)
		r.done = time.Duration(n) * time.Millisecond
	}
	w.runs[key] = r
	w.w.started(w, r, o, late)
	return http.StatusOK, ""
}

// taken returns what the runs take. The world's lock is held.
func (w *worker) taken() (cpu, mem int64) {
	for _, r := range w.runs {
		cpu, mem = cpu+r.step.cpu(), mem+r.step.MemMb
	}
	return cpu, mem
}

// tick lets time pass. The world's lock is held.
func (w *worker) tick(now time.Time) {
	if !w.alive {
		return
	}
	if w.clock() >= w.lease && !w.lapsed {
		w.lapsed = true
		w.w.lapsed(w)
		for _, r := range w.runs {
			w.endRun(r, "lapsed")
		}
	}
	for _, r := range w.runs {
		if r.step.Gang && !r.present {
			if w.w.gangPresent(r) {
				r.present, r.worked = true, now
			} else if now.Sub(r.began) > limits.gangTimeout && !r.stopping {
				w.endRun(r, "alone")
			}
			continue
		}
		r.done += now.Sub(r.worked) * time.Duration(r.percent) / 100
		r.worked = now
		if r.step.Persistent || r.stopping || r.done < r.work {
			continue
		}
		how := "done"
		if r.fails {
			how = "failed"
		}
		if r.step.Gang {
			w.w.endGang(r, how)
			continue
		}
		w.endRun(r, how)
	}
}

func serveOn(h http.Handler) (*http.Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ErrorLog: quietLog}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String()
}

// advice is the advice service.
type advice struct {
	w      *world
	queues map[string]bool
	share  float64 // of the workers that may run a step
	valid_ time.Duration
	mu     sync.Mutex
	given  map[string]adviceTicket
}

type adviceTicket struct {
	step   string
	worker string
	life   int
	until  time.Time
}

func (a *advice) needed(queue string) bool { return a.queues[queue] }

func (a *advice) valid(ticket, task string, w *worker) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.given[ticket]
	return ok && t.step == stepOf(task) && t.worker == w.id && t.life == w.life && time.Now().Before(t.until)
}

func (a *advice) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(q.Workers))*time.Millisecond)
	allowed := [][]string{}
	for _, id := range q.Workers {
		w := a.w.workerByID(id)
		if w == nil || hashShare(q.Step+"/"+id) >= a.share {
			continue
		}
		token := fmt.Sprintf("t%x", time.Now().UnixNano())
		a.w.mu.Lock()
		life := w.life
		a.w.mu.Unlock()
		a.mu.Lock()
		token = fmt.Sprintf("%s-%d", token, len(a.given))
		a.given[token] = adviceTicket{q.Step, id, life, time.Now().Add(a.valid_)}
		a.mu.Unlock()
		allowed = append(allowed, []string{id, token})
	}
	reply(rw, http.StatusOK, map[string]any{"Allowed": allowed})
}
