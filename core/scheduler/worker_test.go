package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// fakeWorker runs tasks under a lease as the platform's workers do.
type fakeWorker struct {
	w        *world
	id       structs.WorkerID
	address  string
	capacity structs.Resources
	alive    bool
	cut      bool // no order reaches it and no answer leaves it
	failing  bool // fails all that it starts
	hanging  bool // tasks stand still
	unlisted bool // a new life does not write its entry yet
	born     int64
	since    time.Duration // start of this life
	epoch    structs.Epoch
	leaseEnd int64
	runs     map[runKey]*fakeRun
	highest  map[structs.TaskRef]structs.Run // stopped or ended here
	ended    []structs.EndedRun
	lastEnd  uint64
	lapsed   uint64   // ends up to this one were listed when the lease ran out
	waiting  []func() // looks that wait for an end
	life     int
	starts   int

	// onStart decides what becomes of a start; nil: it is carried out.
	onStart func(StartTask) startFate
	tail    func(*fakeRun) int64 // the figure of a run
}

// startFate is what becomes of a start order.
type startFate int

const (
	startAnswered   startFate = iota
	startUnanswered           // carried out, without an answer
	startLost                 // not carried out, without an answer
	startLate                 // carried out seconds later, without an answer
)

type fakeRun struct {
	e       StartTask
	step    *structs.Step
	started time.Duration // at the last change of its pace
	done    time.Duration // work until then
	work    time.Duration
	percent int // of its full pace
	changes int // of its pace
	ending  bool
}

// worked returns how much of its work a run has done.
func (r *fakeRun) worked(now time.Duration) time.Duration {
	return r.done + (now-r.started)*time.Duration(r.percent)/fullPace
}

func (w *world) addWorker(id string) *fakeWorker {
	f := &fakeWorker{
		w: w, id: structs.WorkerID(id), address: "10.0.0.1:" + id,
		capacity: structs.Resources{MilliCores: 8000, MemoryMB: 64000},
		tail:     func(*fakeRun) int64 { return 0 },
	}
	w.workers[f.id] = f
	f.boot()
	return f
}

func (f *fakeWorker) boot() {
	f.life++
	f.alive, f.born, f.since, f.epoch, f.leaseEnd = true, f.w.wall()+int64(f.life), f.w.now, 0, 0
	f.runs, f.highest, f.ended, f.lastEnd, f.lapsed, f.waiting = make(map[runKey]*fakeRun), make(map[structs.TaskRef]structs.Run), nil, 0, 0, nil
	if !f.unlisted {
		f.list(false)
	}
}

// list writes the worker's entry.
func (f *fakeWorker) list(draining bool) {
	e := structs.WorkerEntry{Service: serviceName, Address: f.address, Draining: draining, Capacity: f.capacity, Labels: []string{"a", "r1"}, Born: f.born}
	if draining {
		e.Leaves = 2 * time.Second
	}
	f.w.store.set(TableWorkers, string(f.id), WorkerRow{e})
}

// crash ends the worker's life. Nothing of it is left.
func (f *fakeWorker) crash() {
	f.alive = false
	f.life++
	f.runs = make(map[runKey]*fakeRun)
}

func (f *fakeWorker) clock() int64 {
	return int64(float64((f.w.now - f.since).Milliseconds()) * 0.99)
}

func (f *fakeWorker) grant(end int64) {
	end = min(end, f.clock()+testBounds.MaxLease.Milliseconds())
	if end <= f.leaseEnd {
		return
	}
	f.leaseEnd = end
	life := f.life
	wait := time.Duration(float64(end-f.clock())/0.99+1) * time.Millisecond
	f.w.after(wait, func() {
		if f.life == life && f.clock() >= f.leaseEnd {
			f.lapsed = f.lastEnd
			for _, r := range f.sorted() {
				f.end(r, structs.EndLapsed, "")
			}
		}
	})
}

func (f *fakeWorker) sorted() []*fakeRun {
	return slices.SortedFunc(maps.Values(f.runs), func(a, b *fakeRun) int {
		if a.e.Task.Less(b.e.Task) {
			return -1
		}
		return cmp.Compare(a.e.Run, b.e.Run)
	})
}

// ordered carries out an order and sends the answer.
func (f *fakeWorker) ordered(h *fakeHost, id EffectID, do func() Ordered) {
	f.w.after(workerDelay, func() {
		if !f.alive || f.cut {
			h.later(orderTimeout, Ordered{Effect: id, Outcome: structs.OutcomeUnknown})
			return
		}
		o := do()
		o.Effect = id
		if o.Outcome == structs.OutcomeUnknown || f.cut {
			o = Ordered{Effect: id, Outcome: structs.OutcomeUnknown}
			h.later(orderTimeout, o)
			return
		}
		h.later(workerDelay, o)
	})
}

func (f *fakeWorker) startTask(e StartTask, _ *fakeHost) Ordered {
	fate := startAnswered
	if f.onStart != nil {
		fate = f.onStart(e)
	}
	switch fate {
	case startLost:
		return Ordered{Outcome: structs.OutcomeUnknown}
	case startLate:
		life := f.life
		f.w.after(3*time.Second, func() {
			if f.life == life && f.alive {
				f.carryOut(e)
			}
		})
		return Ordered{Outcome: structs.OutcomeUnknown}
	}
	o := f.carryOut(e)
	if fate == startUnanswered {
		o.Outcome = structs.OutcomeUnknown
	}
	return o
}

func (f *fakeWorker) carryOut(e StartTask) Ordered {
	refuse := func(r Refusal) Ordered {
		return Ordered{Outcome: structs.OutcomeNotDone, Refused: r, ClockMS: f.clock(), Born: f.born}
	}
	key := runKey{e.Task, e.Run}
	switch {
	case e.Epoch < f.epoch:
		return refuse(RefusedEpoch)
	case f.runs[key] != nil:
		return Ordered{Outcome: structs.OutcomeDone, ClockMS: f.clock(), Born: f.born}
	}
	f.epoch = e.Epoch
	f.grant(e.LeaseEndMS)
	step := &f.w.jobs[e.Task.Job].Steps[e.Task.Step]
	used := occupies(step)
	for _, r := range f.runs {
		used = used.Add(occupies(r.step))
	}
	switch {
	case f.highest[e.Task] >= e.Run:
		return refuse(RefusedRun)
	case e.LeaseEndMS <= f.clock():
		return refuse(RefusedLate)
	case !used.Fits(f.capacity):
		return refuse(RefusedRoom)
	}
	f.w.oracle.started(f, e)
	f.starts++
	work, err := time.ParseDuration(e.Spec)
	if err != nil {
		f.w.t.Fatal(err)
	}
	r := &fakeRun{e: e, step: step, started: f.w.now, work: work, percent: fullPace}
	if e.Checkpoint != "" && step.SavesProgress {
		r.done = f.w.saved[e.Task]
	}
	f.runs[key] = r
	f.awaitEnd(r)
	return Ordered{Outcome: structs.OutcomeDone, ClockMS: f.clock(), Born: f.born}
}

// awaitEnd ends a run once it has done its work at its present pace.
func (f *fakeWorker) awaitEnd(r *fakeRun) {
	if r.step.Persistent || f.hanging || r.percent == 0 {
		return
	}
	life, changes := f.life, r.changes
	f.w.after((r.work-r.worked(f.w.now))*fullPace/time.Duration(r.percent), func() {
		if f.life != life || f.runs[runKey{r.e.Task, r.e.Run}] != r || r.ending || r.changes != changes {
			return
		}
		how := structs.EndDone
		if f.failing {
			how = structs.EndFailed
		}
		f.end(r, how, "")
	})
}

func (f *fakeWorker) paceTask(e PaceTask) Ordered {
	if r := f.runs[runKey{e.Task, e.Run}]; r != nil {
		r.done, r.started, r.percent = r.worked(f.w.now), f.w.now, e.Percent
		r.changes++
		f.awaitEnd(r)
	}
	return Ordered{Outcome: structs.OutcomeDone, ClockMS: f.clock(), Born: f.born}
}

func (f *fakeWorker) end(r *fakeRun, how structs.RunEnd, checkpoint string) {
	delete(f.runs, runKey{r.e.Task, r.e.Run})
	f.lastEnd++
	f.highest[r.e.Task] = max(f.highest[r.e.Task], r.e.Run)
	f.ended = append(f.ended, structs.EndedRun{Number: f.lastEnd, Task: r.e.Task, Run: r.e.Run, End: how, Checkpoint: checkpoint})
	waiting := f.waiting
	f.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

func (f *fakeWorker) stopTask(e StopTask) Ordered {
	if e.Epoch < f.epoch {
		return Ordered{Outcome: structs.OutcomeNotDone, Refused: RefusedEpoch, ClockMS: f.clock(), Born: f.born}
	}
	f.epoch = e.Epoch
	f.highest[e.Task] = max(f.highest[e.Task], e.Run)
	if r := f.runs[runKey{e.Task, e.Run}]; r != nil && !r.ending {
		r.ending = true
		life := f.life
		f.w.after(testBounds.StopTimeout/2, func() {
			if f.life == life && f.runs[runKey{e.Task, e.Run}] == r {
				f.w.saved[e.Task] = r.worked(f.w.now)
				f.end(r, structs.EndStopped, "saved-"+string(e.Task.Job))
			}
		})
	}
	return Ordered{Outcome: structs.OutcomeDone, ClockMS: f.clock(), Born: f.born}
}

func (f *fakeWorker) hold(h *fakeHost, e HoldWorker) {
	life := f.life
	lost := WorkerHeld{Effect: e.ID, Outcome: structs.OutcomeUnknown}
	f.w.after(workerDelay, func() {
		if !f.alive || f.cut || f.life != life {
			h.later(e.Timeout, lost)
			return
		}
		if e.Epoch < f.epoch {
			h.later(workerDelay, WorkerHeld{Effect: e.ID, Outcome: structs.OutcomeNotDone, Refused: RefusedEpoch})
			return
		}
		f.epoch = e.Epoch
		if e.LeaseEndMS > 0 {
			f.grant(e.LeaseEndMS)
		}
		f.ended = slices.DeleteFunc(f.ended, func(n structs.EndedRun) bool {
			// An end that is acknowledged only after the lease ran out does not
			// count: the leader may have given the run up by then.
			if n.Number <= e.Seen && n.Number > f.lapsed && n.End == structs.EndDone {
				f.w.oracle.done[n.Task] = true
			}
			return n.Number <= e.Seen
		})
		answered := false
		answer := func() {
			if answered {
				return
			}
			answered = true
			if f.life != life || f.cut {
				h.later(e.Timeout, lost)
				return
			}
			h.later(workerDelay, f.lists(e.ID))
		}
		if e.Wait == 0 || len(f.ended) > 0 {
			answer()
			return
		}
		f.waiting = append(f.waiting, answer)
		f.w.after(e.Wait, answer)
	})
}

func (f *fakeWorker) lists(id EffectID) WorkerHeld {
	held := WorkerHeld{Effect: id, Outcome: structs.OutcomeDone, ClockMS: f.clock(), Born: f.born, Ended: slices.Clone(f.ended)}
	for _, r := range f.sorted() {
		// A persistent task is at work once it has been started up.
		percent := min(100, int(100*r.worked(f.w.now)/max(r.work, 1)))
		if f.hanging {
			percent = 0
		}
		held.Active = append(held.Active, structs.ActiveRun{Task: r.e.Task, Run: r.e.Run, Percent: percent, Gauge: f.tail(r)})
	}
	return held
}
