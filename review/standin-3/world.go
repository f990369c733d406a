package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job, as it is sent.
type step struct {
	Count         int
	Cpu           int64  `json:",omitempty"`
	MemMb         int64  `json:",omitempty"`
	EstimatedMs   int64  `json:",omitempty"`
	After         []int  `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	SameRack      bool   `json:",omitempty"`
	SavesProgress bool   `json:",omitempty"`
	Persistent    bool   `json:",omitempty"`
	Requirements  string `json:",omitempty"`
	DataRack      string `json:",omitempty"`
	AntiAffinity  int    `json:",omitempty"`
	Image         string `json:",omitempty"`

	workMS  int64
	failing func(ref taskRef, run uint64) bool
}

func (s *step) cpu() int64                            { return s.Cpu }
func (s *step) workOf(taskRef) time.Duration          { return time.Duration(s.workMS) * time.Millisecond }
func (s *step) failsRun(ref taskRef, run uint64) bool { return s.failing != nil && s.failing(ref, run) }

type taskRef struct {
	job              string
	occ, step, index int
}

// job is a job with what the stand-ins have seen of it.
type job struct {
	id, queue   string
	Spec        string
	Steps       []*step
	StartTimeMs int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
	RepeatCount int   `json:",omitempty"`

	handedIn   bool // a request with it was sent
	accepted   time.Time
	cancelSent time.Time
	cancelled  time.Time           // acknowledged
	done       map[string]bool     // tasks with an end done
	fails      map[string][]uint64 // runs that ended failed and were noted, by task
}

func (j *job) occurrences() int { return max(j.RepeatCount, 1) }

func (j *job) allDone() bool {
	for k := range j.occurrences() {
		for s, st := range j.Steps {
			for i := range st.Count {
				if !j.done[fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i)] {
					return false
				}
			}
		}
	}
	return true
}

type doneEnd struct {
	worker *worker
	life   int
	key    runKey
	noted  bool
	lapsed bool
}

// world holds the workers and judges what they and the requesters see.
type world struct {
	mu       sync.Mutex
	store    *store
	workers  []*worker
	jobs     map[string]*job
	attempts int
	advice   *advice
	doneEnds map[string][]*doneEnd
	began    time.Time
	breaches []string
	record   *os.File
	recordMu sync.Mutex
	rng      *rand.Rand
	rngMu    sync.Mutex
	calm     func() bool // no disruption near
	starts   int
}

func newWorld(seed uint64, record *os.File) *world {
	w := &world{jobs: map[string]*job{}, doneEnds: map[string][]*doneEnd{}, began: time.Now(), record: record, attempts: 3, rng: rand.New(rand.NewPCG(seed, 1))}
	w.store = newStore(w.rand)
	w.calm = func() bool { return true }
	return w
}

func (w *world) rand() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Float64()
}

func (w *world) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records a broken rule.
func (w *world) breach(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.breaches = append(w.breaches, text)
	w.log("BROKEN %s", text)
}

func hashShare(s string) float64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return float64(h.Sum64()%10_000) / 10_000
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// taskOf finds a task by its name. The lock is held.
func (w *world) taskOf(name string) (*job, *step, taskRef, bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return nil, nil, taskRef{}, false
	}
	j := w.jobs[p[0]]
	if j == nil || !j.handedIn {
		return nil, nil, taskRef{}, false
	}
	k, _ := strconv.Atoi(p[1])
	s, _ := strconv.Atoi(p[2])
	i, _ := strconv.Atoi(p[3])
	if k < 0 || k >= j.occurrences() || s < 0 || s >= len(j.Steps) || i < 0 || i >= j.Steps[s].Count {
		return nil, nil, taskRef{}, false
	}
	return j, j.Steps[s], taskRef{p[0], k, s, i}, true
}

func (w *world) workerByID(id string) *worker {
	for _, x := range w.workers {
		if x.id == id {
			return x
		}
	}
	return nil
}

// started judges the start of a run. The lock is held.
func (w *world) started(wk *worker, r *taskRun, o order, late bool) {
	w.starts++
	name, j := r.key.task, r.job
	_, s, ref, _ := w.taskOf(name)
	w.log("run %s %d starts on %s (token %d, late %v, checkpoint %q)", name, r.key.run, wk.id, o.FencingToken, late, o.Checkpoint)
	if o.Spec != j.Spec {
		w.breach("UNASKED", "%s run %d has another Spec", name, r.key.run)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > limits.cancel && !late && w.calm() {
		w.breach("UNASKED", "%s run %d starts %.1f s after the job's cancelling was acknowledged", name, r.key.run, time.Since(j.cancelled).Seconds())
	}
	if cpu, mem := wk.taken(); cpu > wk.cpu || mem > wk.mem {
		w.breach("LIMIT", "%s run %d brings %s to %d of %d mCPU, %d of %d MB", name, r.key.run, wk.id, cpu, wk.cpu, mem, wk.mem)
	}
	same := 0
	for _, x := range w.workers {
		if !x.alive {
			continue
		}
		for _, o := range x.runs {
			if o.key.task == name && o != r {
				w.breach("TWICE", "%s run %d on %s while run %d is on %s", name, r.key.run, wk.id, o.key.run, x.id)
			}
			if x == wk && stepOf(o.key.task) == stepOf(name) {
				same++
			}
		}
	}
	if s.AntiAffinity > 0 && same > s.AntiAffinity {
		w.breach("ROUTE", "%d tasks of %s on %s, AntiAffinity %d", same, stepOf(name), wk.id, s.AntiAffinity)
	}
	if s.Requirements != "" {
		has := false
		for _, l := range wk.labels {
			has = has || l == s.Requirements
		}
		if !has {
			w.breach("ROUTE", "%s run %d on %s without the label %s", name, r.key.run, wk.id, s.Requirements)
		}
	}
	if !s.Persistent {
		for _, e := range w.doneEnds[name] {
			if e.noted {
				w.breach("TWICE", "%s run %d starts after run %d has ended done on %s, which was noted", name, r.key.run, e.key.run, e.worker.id)
			}
		}
	}
	for _, a := range s.After {
		for i := range j.Steps[a].Count {
			if before := fmt.Sprintf("%s.%d.%d.%d", j.id, ref.occ, a, i); !j.done[before] {
				w.breach("ORDER", "%s run %d starts before %s is done", name, r.key.run, before)
				break
			}
		}
	}
	if j.RepeatCount > 0 {
		due := j.StartTimeMs + int64(ref.occ)*j.IntervalMs
		if early := due - time.Now().UnixMilli(); early > limits.early.Milliseconds() {
			w.breach("ORDER", "%s run %d starts %d ms before its time", name, r.key.run, early)
		}
	}
	if !s.Persistent && len(j.fails[name]) >= w.attempts {
		w.breach("BUDGET", "%s run %d starts after %d failed runs", name, r.key.run, len(j.fails[name]))
	}
}

// ended records the end of a run. The lock is held.
func (w *world) ended(wk *worker, r *taskRun, how string, listed bool) {
	w.log("run %s %d ends %s on %s", r.key.task, r.key.run, how, wk.id)
	if how == "done" {
		r.job.done[r.key.task] = true
		w.doneEnds[r.key.task] = append(w.doneEnds[r.key.task], &doneEnd{worker: wk, life: wk.life, key: r.key})
		if r.step.Gang {
			for i := range r.step.Count {
				r.job.done[stepOf(r.key.task)+"."+strconv.Itoa(i)] = true
			}
		}
	}
	if how == "alone" && r.job.cancelSent.IsZero() && w.calm() {
		w.breach("GANG", "%s run %d ends alone on %s", r.key.task, r.key.run, wk.id)
	}
}

// lapsed records that the lease of a worker has run out. The lock is held.
func (w *world) lapsed(wk *worker) {
	for _, ends := range w.doneEnds {
		for _, e := range ends {
			if e.worker == wk && e.life == wk.life && !e.noted {
				e.lapsed = true
			}
		}
	}
}

// noted records that an end has been taken note of. The lock is held.
func (w *world) noted(wk *worker, e end) {
	j, s, _, ok := w.taskOf(e.key.task)
	if !ok {
		return
	}
	switch e.how {
	case "done":
		if s.Persistent {
			return
		}
		for _, d := range w.doneEnds[e.key.task] {
			if d.worker == wk && d.life == wk.life && d.key == e.key && !d.lapsed {
				d.noted = true
				for _, x := range w.workers {
					for k := range x.runs {
						if x.alive && k.task == e.key.task && k.run > e.key.run {
							w.breach("TWICE", "the end done of %s run %d is noted while run %d is on %s", e.key.task, e.key.run, k.run, x.id)
						}
					}
				}
			}
		}
	case "failed":
		j.fails[e.key.task] = append(j.fails[e.key.task], e.key.run)
	}
}

// gangPresent reports whether all members of a run of a gang run. The lock is held.
func (w *world) gangPresent(r *taskRun) bool {
	n := 0
	for _, x := range w.workers {
		for k, o := range x.runs {
			if x.alive && k.run == r.key.run && stepOf(k.task) == stepOf(r.key.task) && !o.stopping {
				n++
			}
		}
	}
	return n >= r.step.Count
}

// endGang ends all members of a run of a gang: together, or the others as broken.
func (w *world) endGang(r *taskRun, how string) {
	for _, x := range w.workers {
		if !x.alive {
			continue
		}
		for k, o := range x.runs {
			if k.run != r.key.run || stepOf(k.task) != stepOf(r.key.task) {
				continue
			}
			if how == "done" || o == r {
				x.endRun(o, how)
			} else {
				x.endRun(o, "broken")
			}
		}
	}
}

// run lets time pass for the workers until the world is closed.
func (w *world) run(stop <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	beat := time.NewTicker(1500 * time.Millisecond)
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			w.mu.Lock()
			for _, x := range w.workers {
				x.tick(now)
			}
			// A member that has ended otherwise than with the others breaks the rest.
			for _, x := range w.workers {
				for _, r := range x.runs {
					if x.alive && r.step.Gang && r.present && !r.stopping && !w.gangPresent(r) {
						x.endRun(r, "broken")
					}
				}
			}
			w.mu.Unlock()
		case <-beat.C:
			for _, x := range w.workers {
				w.mu.Lock()
				alive := x.alive
				w.mu.Unlock()
				if alive {
					x.register()
				}
			}
		}
	}
}
