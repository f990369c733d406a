package scheduler

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// fakeWorker simulates a worker of the platform, which runs tasks under a lease.
type fakeWorker struct {
	sim             *simulation
	id              structs.WorkerID
	address         string
	rack            string
	zone            string
	coldFor         time.Duration
	labels          []string // besides "a" and the rack
	capacity        structs.Resources
	alive           bool
	disconnected    bool          // commands do not reach it and answers are lost
	failing         bool          // all its runs fail
	hanging         bool          // its runs make no progress
	replaced        bool          // ended for good
	clockBehind     time.Duration // how far its time of day is behind when it starts
	unlisted        bool          // new incarnations do not write an entry into the list
	incarnation     int64
	startedAt       time.Duration // start of this incarnation
	clockOrigin     int64         // what its clock showed then, in ms
	epoch           structs.Epoch
	leaseEnd        int64
	runs            map[runKey]*fakeRun
	highestRun      map[structs.TaskRef]structs.Run // highest run stopped or ended on this worker, by task
	endedRuns       []structs.EndedRun
	lastEnd         uint64
	lastEndAtExpiry uint64        // number of the last end when the lease expired
	waitingSyncs    []func()      // syncs that wait for an end
	syncTransit     time.Duration // further time to the arrival of a sync, which the incarnation that is there then carries out
	generation      int           // counts boots and crashes
	starts          int

	// commandsNameIncarnation makes answers to commands name the incarnation, as answers
	// to syncs always do.
	commandsNameIncarnation bool

	down         downBehavior // how it answers calls while it is down, if there is a network
	resetsCalls  bool         // calls in flight at a crash fail at once
	calls        []func()     // break the calls that have reached this incarnation
	keepsCursor  bool         // an acknowledgement also discards later ends with such numbers
	ackedThrough uint64       // highest acknowledged number, if it keeps it
	endTimes     map[uint64]time.Duration

	// onStart decides the outcome of a start command; nil: startAnswered.
	onStart func(StartTask) startOutcome
	gauge   func(*fakeRun) int64 // the gauge of a run
}

// fakeMaxListedEnds is the most ended runs that a worker lists in one answer.
const fakeMaxListedEnds = 500

// startOutcome is the outcome of a start command.
type startOutcome int

const (
	startAnswered   startOutcome = iota // carried out and answered
	startUnanswered                     // carried out, without an answer
	startLost                           // not carried out, without an answer
	startLate                           // carried out seconds later, without an answer
)

type fakeRun struct {
	start          StartTask
	step           *structs.Step
	speedChangedAt time.Duration // last change of its speed
	workBefore     time.Duration // work done before then
	work           time.Duration
	speed          int // percent of full speed
	speedChanges   int // number of changes of its speed
	stopping       bool
}

// workDone returns how much of its work a run has done.
func (r *fakeRun) workDone(now time.Duration) time.Duration {
	return r.workBefore + (now-r.speedChangedAt)*time.Duration(r.speed)/fullSpeed
}

// workersPerRack is the number of workers of a rack.
const workersPerRack = 2

func (sim *simulation) addWorker(id string) *fakeWorker {
	f := &fakeWorker{
		sim: sim, id: structs.WorkerID(id), address: "10.0.0.1:" + id, rack: fmt.Sprintf("r%d", len(sim.workers)/workersPerRack), zone: fmt.Sprintf("z%d", len(sim.workers)%2),
		capacity: structs.Resources{MilliCores: 8000, MemoryMB: 64000},
		gauge:    func(*fakeRun) int64 { return 0 },
	}
	sim.workers[f.id] = f
	f.boot()
	return f
}

func (f *fakeWorker) boot() {
	f.generation++
	f.alive, f.incarnation, f.startedAt, f.epoch, f.leaseEnd = true, f.sim.wall()+int64(f.generation)-f.clockBehind.Milliseconds(), f.sim.now, 0, 0
	f.calls, f.ackedThrough, f.endTimes = nil, 0, make(map[uint64]time.Duration)
	f.runs, f.highestRun, f.endedRuns, f.lastEnd, f.lastEndAtExpiry, f.waitingSyncs = make(map[runKey]*fakeRun), make(map[structs.TaskRef]structs.Run), nil, 0, 0, nil
	f.clockOrigin = rand.New(rand.NewPCG(uint64(f.generation), hashOf(string(f.id)))).Int64N(maxFakeClockOrigin.Milliseconds())
	if !f.unlisted {
		f.writeEntry(false)
	}
}

// hashOf returns a seed of random numbers that differs by name.
func hashOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// maxFakeClockOrigin bounds the value at which the clock of an incarnation begins.
const maxFakeClockOrigin = 3 * time.Hour

// restartAccepting starts a new incarnation whose clock is behind that of the former one, by
// less than a lease or by far more, so that it carries out starts that were meant for the
// former one. With a clock ahead it would refuse them, since the end of their lease is over.
func (f *fakeWorker) restartAccepting() {
	random := rand.New(rand.NewPCG(hashOf(f.sim.t.Name()), hashOf(string(f.id))+uint64(f.generation)))
	if random.IntN(2) == 0 {
		f.restartFarBehind()
		return
	}
	f.restartAt(f.clock() - 1 - random.Int64N(testBounds.MaxLease.Milliseconds()))
}

// restartFarBehind does so with a clock that is behind by more than a lease: leases that were
// meant for the former incarnation are the longest ones.
func (f *fakeWorker) restartFarBehind() { f.restartAt(f.clock() / 2) }

// restartAt starts a new incarnation whose clock shows clockMS.
func (f *fakeWorker) restartAt(clockMS int64) {
	f.crash()
	f.boot()
	f.clockOrigin = clockMS
}

// writeEntry writes the worker's entry into the list of workers.
func (f *fakeWorker) writeEntry(draining bool) {
	e := structs.WorkerEntry{Service: serviceName, Address: f.address, Zone: f.zone, ColdFor: f.coldFor, Draining: draining, Capacity: f.capacity, Labels: append([]string{"a", f.rack}, f.labels...), Rack: f.rack, Incarnation: f.incarnation}
	if draining {
		e.LeavesIn = 2 * time.Second
	}
	f.sim.store.set(TableWorkers, string(f.id), WorkerRow{e})
}

// replace ends the worker for good and adds another one in a rack of its own.
func (f *fakeWorker) replace() {
	if f.replaced {
		return
	}
	f.replaced = true
	f.crash()
	f.sim.store.set(TableWorkers, string(f.id), nil)
	replacement := f.sim.addWorker(fmt.Sprintf("n%02d", len(f.sim.workers)))
	replacement.rack, replacement.labels = "rack of "+string(replacement.id), f.labels
	replacement.writeEntry(false)
}

// crash ends the worker and all its runs.
func (f *fakeWorker) crash() {
	f.alive = false
	f.generation++
	f.runs = make(map[runKey]*fakeRun)
	if f.resetsCalls {
		for _, reset := range f.calls {
			reset()
		}
	}
	f.calls = nil
}

// commandIncarnation returns the incarnation in answers to commands; 0: not named.
func (f *fakeWorker) commandIncarnation() int64 {
	if f.commandsNameIncarnation {
		return f.incarnation
	}
	return 0
}

func (f *fakeWorker) clock() int64 {
	return f.clockOrigin + int64(float64((f.sim.now-f.startedAt).Milliseconds())*0.99)
}

func (f *fakeWorker) grantLease(end int64) {
	end = min(end, f.clock()+testBounds.MaxLease.Milliseconds())
	if end <= f.leaseEnd {
		return
	}
	f.leaseEnd = end
	generation := f.generation
	wait := time.Duration(float64(end-f.clock())/0.99+1) * time.Millisecond
	f.sim.after(wait, func() {
		if f.generation == generation && f.clock() >= f.leaseEnd {
			f.lastEndAtExpiry = f.lastEnd
			for _, r := range f.sortedRuns() {
				f.endRun(r, structs.EndLeaseExpired, "")
			}
		}
	})
}

func (f *fakeWorker) sortedRuns() []*fakeRun {
	return slices.SortedFunc(maps.Values(f.runs), func(a, b *fakeRun) int {
		if a.start.Task.Less(b.start.Task) {
			return -1
		}
		return cmp.Compare(a.start.Run, b.start.Run)
	})
}

// perform executes a command and sends the answer.
func (f *fakeWorker) perform(h fakeConnection, c WorkerCommand, execute func() CommandDone) {
	f.sim.after(workerDelay, func() {
		if !f.hears(h) {
			h.deliverAfter(c.Timeout, CommandDone{Effect: c.ID, Outcome: structs.OutcomeUnknown})
			return
		}
		o := execute()
		o.Effect = c.ID
		if o.Outcome == structs.OutcomeUnknown || f.disconnected {
			o = CommandDone{Effect: c.ID, Outcome: structs.OutcomeUnknown}
			h.deliverAfter(c.Timeout, o)
			return
		}
		h.answer(o)
	})
}

// hears reports whether a call reaches the worker, which may have another address now.
func (f *fakeWorker) hears(h fakeConnection) bool {
	return f.alive && !f.disconnected && (h.fate.address == "" || h.fate.address == f.address)
}

func (f *fakeWorker) startTask(e StartTask) CommandDone {
	outcome := startAnswered
	if f.onStart != nil {
		outcome = f.onStart(e)
	}
	switch outcome {
	case startLost:
		return CommandDone{Outcome: structs.OutcomeUnknown}
	case startLate:
		generation := f.generation
		f.sim.after(3*time.Second, func() {
			if f.generation == generation && f.alive {
				f.executeStart(e)
			}
		})
		return CommandDone{Outcome: structs.OutcomeUnknown}
	}
	o := f.executeStart(e)
	if outcome == startUnanswered {
		o.Outcome = structs.OutcomeUnknown
	}
	return o
}

func (f *fakeWorker) executeStart(e StartTask) CommandDone {
	refuse := func(r Refusal) CommandDone {
		return CommandDone{Outcome: structs.OutcomeNotDone, Refused: r, ClockMS: f.clock(), Incarnation: f.commandIncarnation()}
	}
	key := runKey{e.Task, e.Run}
	switch {
	case e.Epoch < f.epoch:
		return refuse(RefusedEpoch)
	case f.runs[key] != nil:
		return CommandDone{Outcome: structs.OutcomeDone, ClockMS: f.clock(), Incarnation: f.commandIncarnation()}
	}
	f.epoch = e.Epoch
	f.grantLease(e.LeaseEndMS)
	step := &f.sim.submittedJobs[e.Task.Job].Steps[e.Task.Step]
	used := reservation(step)
	for _, r := range f.runs {
		used = used.Add(reservation(r.step))
	}
	switch {
	case f.highestRun[e.Task] >= e.Run:
		return refuse(RefusedRun)
	case e.LeaseEndMS <= f.clock():
		return refuse(RefusedLeaseExpired)
	case !used.Fits(f.capacity):
		return refuse(RefusedCapacity)
	}
	f.sim.oracle.started(f, e)
	f.starts++
	work, err := time.ParseDuration(e.Spec)
	if err != nil {
		f.sim.t.Fatal(err)
	}
	r := &fakeRun{start: e, step: step, speedChangedAt: f.sim.now, work: work, speed: fullSpeed}
	if e.Checkpoint != "" && step.SavesProgress {
		r.workBefore = f.sim.checkpointedWork[e.Task]
	}
	f.runs[key] = r
	f.scheduleEnd(r)
	return CommandDone{Outcome: structs.OutcomeDone, ClockMS: f.clock(), Incarnation: f.commandIncarnation()}
}

// scheduleEnd ends a run when it has done its work at its current speed.
func (f *fakeWorker) scheduleEnd(r *fakeRun) {
	if r.step.Persistent || f.hanging || r.speed == 0 {
		return
	}
	generation, changes := f.generation, r.speedChanges
	f.sim.after((r.work-r.workDone(f.sim.now))*fullSpeed/time.Duration(r.speed), func() {
		if f.generation != generation || f.runs[runKey{r.start.Task, r.start.Run}] != r || r.stopping || r.speedChanges != changes {
			return
		}
		how := structs.EndDone
		if f.failing {
			how = structs.EndFailed
		}
		f.endRun(r, how, "")
	})
}

func (f *fakeWorker) throttleTask(e ThrottleTask) CommandDone {
	if r := f.runs[runKey{e.Task, e.Run}]; r != nil {
		r.workBefore, r.speedChangedAt, r.speed = r.workDone(f.sim.now), f.sim.now, e.Percent
		r.speedChanges++
		f.scheduleEnd(r)
	}
	return CommandDone{Outcome: structs.OutcomeDone, ClockMS: f.clock(), Incarnation: f.commandIncarnation()}
}

func (f *fakeWorker) endRun(r *fakeRun, how structs.RunEnd, checkpoint string) {
	delete(f.runs, runKey{r.start.Task, r.start.Run})
	f.lastEnd++
	f.highestRun[r.start.Task] = max(f.highestRun[r.start.Task], r.start.Run)
	f.endTimes[f.lastEnd] = f.sim.now
	f.endedRuns = append(f.endedRuns, structs.EndedRun{Number: f.lastEnd, Task: r.start.Task, Run: r.start.Run, End: how, Checkpoint: checkpoint})
	if f.keepsCursor {
		f.discardEnds(f.ackedThrough)
	}
	waiting := f.waitingSyncs
	f.waitingSyncs = nil
	for _, answer := range waiting {
		answer()
	}
}

func (f *fakeWorker) stopTask(e StopTask) CommandDone {
	if e.Epoch < f.epoch {
		return CommandDone{Outcome: structs.OutcomeNotDone, Refused: RefusedEpoch, ClockMS: f.clock(), Incarnation: f.commandIncarnation()}
	}
	f.epoch = e.Epoch
	f.highestRun[e.Task] = max(f.highestRun[e.Task], e.Run)
	if r := f.runs[runKey{e.Task, e.Run}]; r != nil && !r.stopping {
		r.stopping = true
		generation := f.generation
		f.sim.after(testBounds.StopTimeout/2, func() {
			if f.generation == generation && f.runs[runKey{e.Task, e.Run}] == r {
				f.sim.checkpointedWork[e.Task] = r.workDone(f.sim.now)
				f.endRun(r, structs.EndStopped, "saved-"+string(e.Task.Job))
			}
		})
	}
	return CommandDone{Outcome: structs.OutcomeDone, ClockMS: f.clock(), Incarnation: f.commandIncarnation()}
}

func (f *fakeWorker) syncLists(h fakeConnection, e SyncWorker) {
	generation := f.generation
	unanswered := WorkerSynced{Effect: e.ID, Outcome: structs.OutcomeUnknown}
	f.sim.after(workerDelay+f.syncTransit, func() {
		if f.syncTransit > 0 {
			generation = f.generation
		}
		if !f.hears(h) || f.generation != generation {
			h.deliverAfter(e.Timeout, unanswered)
			return
		}
		if e.Epoch < f.epoch {
			h.answer(WorkerSynced{Effect: e.ID, Outcome: structs.OutcomeNotDone, Refused: RefusedEpoch})
			return
		}
		f.epoch = e.Epoch
		if e.LeaseEndMS > 0 {
			f.grantLease(e.LeaseEndMS)
		}
		f.ackedThrough = max(f.ackedThrough, e.AckedThrough)
		f.discardEnds(e.AckedThrough)
		answered := false
		answer := func() {
			if answered {
				return
			}
			answered = true
			if f.generation != generation || f.disconnected {
				h.deliverAfter(e.Timeout, unanswered)
				return
			}
			h.answer(f.syncResult(e.ID))
		}
		if e.Wait == 0 || len(f.endedRuns) > 0 {
			answer()
			return
		}
		f.waitingSyncs = append(f.waitingSyncs, answer)
		f.sim.after(e.Wait, answer)
	})
}

// discardEnds discards acknowledged ends.
func (f *fakeWorker) discardEnds(through uint64) {
	f.endedRuns = slices.DeleteFunc(f.endedRuns, func(n structs.EndedRun) bool {
		// The oracle ignores ends that are acknowledged after the lease expired:
		// the leader may have restarted the task by then.
		if n.Number <= through && n.Number > f.lastEndAtExpiry && n.End == structs.EndDone {
			f.sim.oracle.acknowledged(f, n)
		}
		return n.Number <= through
	})
}

func (f *fakeWorker) syncResult(id EffectID) WorkerSynced {
	listed := f.endedRuns[:min(len(f.endedRuns), fakeMaxListedEnds)]
	result := WorkerSynced{
		Effect: id, Outcome: structs.OutcomeDone, ClockMS: f.clock(), Incarnation: f.incarnation,
		Ended: slices.Clone(listed), MoreEnded: len(listed) == fakeMaxListedEnds,
	}
	for _, r := range f.sortedRuns() {
		// A persistent task reports 100 percent once it has started up.
		percent := min(100, int(100*r.workDone(f.sim.now)/max(r.work, 1)))
		if f.hanging {
			percent = 0
		}
		result.Active = append(result.Active, structs.ActiveRun{Task: r.start.Task, Run: r.start.Run, Percent: percent, Gauge: f.gauge(r)})
	}
	return result
}
