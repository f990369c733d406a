package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// leaseLength is the longest lease that is asked for. It outlasts the change
	// to a new leader, and a worker that is lost for good holds its tasks no longer than that.
	leaseLength = 6 * time.Second
	// slowestClock is the rate of the slowest clock that a worker may have.
	slowestClock = 0.98
	// lapseSlack covers delays between the end of a lease and the end of the
	// runs under it, beyond the stop time.
	lapseSlack = 300 * time.Millisecond
	// holdWait is how long a look at a worker waits for an end.
	holdWait = 1000 * time.Millisecond
	// holdShared replaces holdWait where tails are watched.
	holdShared = 500 * time.Millisecond
	// holdSlack bounds a look beyond its wait. A silent connection costs one look.
	holdSlack = 1200 * time.Millisecond
	// holdGap spaces looks at one worker, so that several ends come with one look.
	holdGap = 60 * time.Millisecond
	// holdIdle spaces looks at a worker that runs nothing.
	holdIdle = 3 * time.Second
	// holdLasting spaces looks at a worker that runs only persistent tasks.
	holdLasting = 500 * time.Millisecond
	// holdRetry spaces looks at a worker that does not answer.
	holdRetry = 300 * time.Millisecond
	// quarantine is how long a worker that fails what it starts gets no work; it
	// doubles with each repetition up to quarantineMax.
	quarantine    = 3 * time.Second
	quarantineMax = 20 * time.Second
	// failStreak failures of at least two jobs in a row, without a success,
	// mean that the worker is at fault.
	failStreak = 3
)

// worker is a worker that the leader knows.
type worker struct {
	l      *leaderState
	id     structs.WorkerID
	entry  structs.WorkerEntry
	listed bool // the platform's list has it
	used   bool // the store's list of used workers has it; nothing is started on others

	synced    bool    // its lists have been read under this epoch
	confirmed Instant // when the last answered look was sent
	heldAt    Instant // when the last look was answered
	born      int64   // 0: not known
	clockMS   int64   // its clock at clockAt
	clockAt   Instant
	promised  int64 // highest end of its lease that was sent, on its clock

	looking  bool
	lookAt   Instant // next look; 0: none is set
	lookSeq  uint64
	failures int // looks without an answer in a row

	runs    map[runKey]*run
	taken   structs.Resources // by runs
	busy    int64             // processors, in thousandths, that runs are taken to use
	serving []*run            // those with a target for their tail
	filling []*run            // those that use what others leave

	seen  uint64 // highest end taken in
	acked uint64 // highest end that is durable
	marks []endMark

	leavesAt    Instant // of a draining worker: not before then
	pausedUntil Instant
	streak      int
	streakJobs  []structs.JobID
	quarantines int
	stalls      int

	pace paceState
}

// endMark tells with which commit an end becomes durable.
type endMark struct {
	number, batch uint64
}

// workerRows takes in rows of the platform's list.
func (l *leaderState) workerRows(rows []Row, all bool) {
	if all {
		for _, id := range l.ids {
			l.workers[id].listed = false
		}
	}
	for _, r := range rows {
		id := structs.WorkerID(r.Key)
		v, ok := r.Value.(WorkerRow)
		switch {
		case r.Removed:
			if w := l.workers[id]; w != nil {
				w.listed = false
				l.s.decide(Decision{Part: "worker", Action: "left the list", Subject: r.Key, Number: uint64(r.Version)})
			}
		case !ok:
			if w := l.workers[id]; w != nil {
				w.listed = false
			}
			l.s.decide(Decision{Part: "worker", Action: "entry cannot be read", Subject: r.Key, Number: uint64(r.Version)})
		default:
			l.entry(id, v.WorkerEntry)
		}
	}
	l.schedule.request()
}

func (l *leaderState) entry(id structs.WorkerID, e structs.WorkerEntry) {
	w := l.addWorker(id)
	if e.Draining && !w.entry.Draining {
		l.s.decide(Decision{Part: "worker", Action: "drains", Subject: string(id), Age: e.Leaves})
		w.leavesAt = l.s.now + e.Leaves
	}
	if !w.listed {
		l.s.decide(Decision{Part: "worker", Action: "listed", Subject: string(id), Where: e.Address})
	}
	w.entry, w.listed = e, true
	if w.born != 0 && e.Born != 0 && e.Born > w.born {
		w.reborn(e.Born)
	}
	if l.isLoaded() {
		w.holdSoon()
	}
}

// addWorker returns the worker with the ID and makes it known if it is not.
func (l *leaderState) addWorker(id structs.WorkerID) *worker {
	if w := l.workers[id]; w != nil {
		return w
	}
	w := &worker{l: l, id: id, runs: make(map[runKey]*run)}
	w.pace.level = fullPace
	l.workers[id] = w
	at, _ := slices.BinarySearch(l.ids, id)
	l.ids = slices.Insert(l.ids, at, id)
	return w
}

// leaseBound returns the longest real time for which a lease granted now, and
// the runs under it, can last.
func leaseBound(b Bounds) time.Duration {
	return time.Duration(float64(min(b.MaxLease, leaseLength))/slowestClock) + b.StopTimeout + lapseSlack
}

// clockNow returns a lower estimate of the worker's clock.
func (w *worker) clockNow(now Instant) int64 {
	return w.clockMS + int64(float64((now-w.clockAt).Milliseconds())*slowestClock)
}

// leaseEnd returns the end of a lease granted now, on the worker's clock.
func (w *worker) leaseEnd(now Instant, b Bounds) int64 {
	return w.clockNow(now) + min(b.MaxLease, leaseLength).Milliseconds()
}

// promise records a lease end that has been sent: the worker may run until then
// even if no answer comes back.
func (w *worker) promise(end int64) { w.promised = max(w.promised, end) }

// lapsesAt returns when everything on the worker has certainly ended unless it
// is looked at again.
func (w *worker) lapsesAt(b Bounds) Instant {
	if w.promised == 0 {
		return w.l.took + leaseBound(b) // only former leaders granted leases
	}
	left := max(w.promised-w.clockMS, 0)
	return w.clockAt + time.Duration(float64(left)/slowestClock)*time.Millisecond + b.StopTimeout + lapseSlack
}

func (w *worker) add(r *run) {
	w.runs[r.key()] = r
	w.taken = w.taken.Add(occupies(r.step))
	w.busy += uses(r.step)
	r.job.runs++
	r.image = w.l.interference.id(r.step.Image)
	switch {
	case r.step.TailTarget > 0:
		r.own = r.job.load(r.ref)
		w.serving = append(w.serving, r)
	case r.step.Fills:
		w.filling = append(w.filling, r)
	default:
		return
	}
	w.predict()
}

func (w *worker) remove(r *run) {
	if w.runs[r.key()] != r {
		return
	}
	delete(w.runs, r.key())
	w.taken = w.taken.Sub(occupies(r.step))
	w.busy -= uses(r.step)
	r.job.runs--
	r.job.ended = w.l.s.now
	same := func(o *run) bool { return o == r }
	w.serving, w.filling = slices.DeleteFunc(w.serving, same), slices.DeleteFunc(w.filling, same)
	w.predict()
}

// sortedRuns returns the runs in a fixed order.
func (w *worker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		switch {
		case a.ref.Less(b.ref):
			return -1
		case b.ref.Less(a.ref):
			return 1
		}
		return cmp.Compare(a.id, b.id)
	})
}

// holdSoon asks for a look as soon as the gap allows.
func (w *worker) holdSoon() { w.lookIn(max(0, w.heldAt+holdGap-w.l.s.now)) }

// lookIn sets the next look unless an earlier one is set.
func (w *worker) lookIn(d time.Duration) {
	at := w.l.s.now + d
	if w.looking || (w.lookAt > 0 && w.lookAt <= at) {
		return
	}
	w.lookAt = max(at, 1)
	w.lookSeq++
	seq := w.lookSeq
	w.l.after(d, func() {
		if w.lookSeq == seq && !w.looking {
			w.look()
		}
	})
}

// look renews the worker's lease, acknowledges ends and reads its lists.
func (w *worker) look() {
	l := w.l
	w.lookAt = 0
	if w.entry.Address == "" || l.workers[w.id] != w || !l.isLoaded() {
		return
	}
	if !l.valid() {
		w.lookIn(holdRetry)
		return
	}
	e := HoldWorker{Order: l.orderTo(w)}
	// A start without an answer may have reached the next life of the worker,
	// whose ends are numbered anew: an acknowledgement could swallow them unread.
	if !w.awaitsAnswer() {
		e.Seen = w.acked
	}
	// A worker that does not answer gets no more lease: else the time after which
	// its runs are certainly over would move on with each look.
	if w.synced && w.failures == 0 {
		e.LeaseEndMS = w.leaseEnd(l.s.now, l.s.bounds)
		w.promise(e.LeaseEndMS)
		e.Wait = w.lookWait()
	}
	e.Timeout = e.Wait + holdSlack
	w.looking = true
	sent := l.s.now
	e.ID = l.s.expect(func(body EventBody) {
		w.looking = false
		if !l.over && l.workers[w.id] == w {
			w.looked(body.(WorkerHeld), sent)
		}
	})
	l.s.emit(e)
}

// lookWait returns how long a look waits for an end. Where tasks that serve run
// beside tasks that fill, tails are needed more often.
func (w *worker) lookWait() time.Duration {
	switch {
	case !w.waitsForEnds():
		return 0
	case w.shared():
		return holdShared
	}
	return holdWait
}

// awaitsAnswer reports whether a start on the worker has had no answer.
func (w *worker) awaitsAnswer() bool {
	for _, r := range w.runs {
		if r.confirmed == 0 {
			return true
		}
	}
	return false
}

// waitsForEnds reports whether a look should wait for an end: a task that ends
// by itself runs here.
func (w *worker) waitsForEnds() bool {
	for _, r := range w.runs {
		if !r.step.Persistent && r.phase == phaseRunning {
			return true
		}
	}
	return false
}

func (w *worker) looked(h WorkerHeld, sent Instant) {
	l := w.l
	if h.Outcome != structs.OutcomeDone {
		w.lookFailed(h)
		return
	}
	if h.Born != 0 && h.Born < w.born {
		w.lookIn(holdRetry) // a delayed answer of an earlier life
		return
	}
	w.failures = 0
	w.confirmed, w.heldAt = sent, l.s.now
	if w.born != 0 && h.Born != 0 && h.Born != w.born {
		w.reborn(h.Born)
	}
	if h.Born != 0 {
		w.born = h.Born
	}
	w.observeClock(h.ClockMS)
	for _, e := range h.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			w.marks = append(w.marks, endMark{e.Number, l.commits.batch})
			l.endListed(w, e)
		}
	}
	w.compare(h.Active, sent)
	if !w.synced {
		w.synced = true
		l.s.decide(Decision{Part: "worker", Action: "lists read", Subject: string(w.id), Number: uint64(l.epoch)})
		l.commits.usedChanged = l.commits.usedChanged || !w.used
		l.account(w.id)
	}
	w.controlPace()
	w.checkStalls()
	w.evacuate()
	l.schedule.request()
	w.lookAgain()
}

// lookAgain sets the next look after an answered one.
func (w *worker) lookAgain() {
	switch {
	case w.waitsForEnds() || len(w.marks) > 0:
		w.holdSoon()
	case len(w.runs) > 0:
		w.lookIn(holdLasting)
	case w.listed:
		w.lookIn(holdIdle)
	}
}

func (w *worker) lookFailed(h WorkerHeld) {
	l := w.l
	switch h.Refused {
	case RefusedEpoch:
		l.depose("a worker has seen a higher epoch")
		return
	case RefusedIncarnation:
		w.ended("another life of the worker answered")
		return
	}
	w.failures++
	if w.failures == 1 {
		l.s.decide(Decision{Part: "worker", Action: "does not answer", Subject: string(w.id), Where: w.entry.Address, Reason: outcomeName(h.Outcome), Age: l.s.now - w.confirmed})
	}
	if l.s.now >= w.lapsesAt(l.s.bounds) {
		w.lapse()
		if !w.listed {
			l.removeWorker(w)
			return
		}
	}
	w.lookIn(holdRetry)
}

// observeClock takes in the worker's clock from an answer.
func (w *worker) observeClock(ms int64) {
	if ms > 0 {
		w.clockMS, w.clockAt = ms, w.l.s.now
	}
}

// observeOrder takes in what an answer to an order tells about the worker.
// The run of the order, r, belongs to the life that answered.
func (w *worker) observeOrder(o Ordered, r *run) {
	if o.Born != 0 && w.born != 0 && o.Born != w.born {
		w.remove(r)
		w.reborn(o.Born)
		w.add(r)
	}
	w.observeClock(o.ClockMS)
}

// compare matches the worker's list with what the leader believes.
func (w *worker) compare(active []structs.ActiveRun, sent Instant) {
	l := w.l
	present := make(map[runKey]bool, len(active))
	for _, a := range active {
		key := runKey{a.Task, a.Run}
		present[key] = true
		r := w.runs[key]
		if r == nil {
			if r = w.adopt(a); r == nil {
				continue
			}
		}
		if r.phase == phaseUnsure || r.phase == phaseStarting {
			r.phase, r.confirmed = phaseRunning, sent
			l.begin(r.job)
		}
		if a.Percent != r.percent {
			r.moved = l.s.now
		}
		r.percent, r.gauge = a.Percent, a.Gauge
		since(&r.atWork, r.step.Persistent && r.percent == fullPace, l.s.now)
		if a.Checkpoint != "" {
			r.checkpoint = a.Checkpoint
		}
	}
	for _, r := range w.sortedRuns() {
		if !present[r.key()] {
			w.absent(r, sent)
		}
	}
}

// absent decides what the absence of a run from a list proves.
func (w *worker) absent(r *run, sent Instant) {
	l := w.l
	switch {
	case r.stopAcked > 0 && r.stopAcked <= sent:
		l.lost(r, "stopped before it began") // the worker refuses it from now on
	case r.phase == phaseStarting:
		// The order may be on its way.
	case r.phase == phaseUnsure:
		l.stop(r, "start without an answer")
	case r.confirmed > 0 && r.confirmed <= sent:
		l.lost(r, "not on the worker's lists")
	}
}

// adopt takes over a run that a former leader started, or stops it when it
// should not run.
func (w *worker) adopt(a structs.ActiveRun) *run {
	l := w.l
	j := l.jobs[a.Task.Job]
	if j == nil || j.taskAt(a.Task) == nil {
		l.s.decide(Decision{Part: "task", Action: "stop ordered", Subject: taskName(a.Task), Where: string(w.id), Number: uint64(a.Run), Reason: "unknown job"})
		e := StopTask{Order: l.orderTo(w), Task: a.Task, Run: a.Run}
		e.ID = l.expectOrder(func(Ordered) { w.holdSoon() }) // the next look repeats the order if need be
		l.s.emit(e)
		return nil
	}
	n, _ := j.number(a.Task)
	t := &j.tasks[n]
	r := &run{
		job: j, ref: a.Task, step: &j.Steps[a.Task.Step], w: w, id: a.Run, phase: phaseRunning, sent: l.s.now,
		confirmed: l.s.now, moved: l.s.now, pace: unknownPace, checkpoint: a.Checkpoint,
	}
	w.add(r)
	t.last = max(t.last, a.Run)
	if !j.active() || j.IsDone(n) || t.run != nil {
		l.stop(r, "it should not run")
		return r
	}
	t.run = r
	l.begin(j)
	l.s.decide(Decision{Part: "task", Action: "run adopted", Subject: taskName(a.Task), Where: string(w.id), Number: uint64(a.Run)})
	return r
}

// reborn handles a new life under the same ID: nothing of the old one is left.
// Starts without an answer may have reached the new life, and stay until it is
// known what became of them.
func (w *worker) reborn(born int64) {
	l := w.l
	l.s.decide(Decision{Part: "worker", Action: "started again", Subject: string(w.id), Number: uint64(born)})
	for _, r := range w.sortedRuns() {
		if r.confirmed > 0 {
			l.lost(r, "the worker started again")
		}
	}
	w.born, w.synced, w.seen, w.acked, w.marks = born, false, 0, 0, nil
	w.promised, w.clockMS = 0, 0
	w.l.account(w.id)
	w.pace = paceState{level: fullPace}
	w.streak, w.streakJobs = 0, nil
	w.holdSoon()
}

// ended handles a worker whose life is over.
func (w *worker) ended(reason string) {
	w.l.s.decide(Decision{Part: "worker", Action: "gone", Subject: string(w.id), Reason: reason, Age: w.l.s.now - w.confirmed})
	w.loseRuns(reason)
	w.l.removeWorker(w)
}

// lapse handles a worker that was not reached until its lease had run out.
func (w *worker) lapse() {
	w.l.account(w.id)
	if len(w.runs) > 0 {
		w.loseRuns("the lease ran out while the worker did not answer")
	}
	w.l.schedule.request()
}

// account notes that the runs of former leaders on a worker are known or over.
func (l *leaderState) account(id structs.WorkerID) {
	if !l.unaccounted[id] {
		return
	}
	delete(l.unaccounted, id)
	if len(l.unaccounted) == 0 {
		l.s.decide(Decision{Part: "leader", Action: "all runs of former leaders accounted for", Subject: l.s.self.Host, Number: uint64(l.epoch), Age: l.s.now - l.took})
	}
	l.schedule.request()
}

func (w *worker) loseRuns(reason string) {
	for _, r := range w.sortedRuns() {
		w.l.lost(r, reason)
	}
}

func (l *leaderState) removeWorker(w *worker) {
	if l.workers[w.id] != w {
		return
	}
	l.account(w.id)
	delete(l.workers, w.id)
	if at, ok := slices.BinarySearch(l.ids, w.id); ok {
		l.ids = slices.Delete(l.ids, at, at+1)
	}
	if w.used {
		l.commits.usedChanged = true
	}
	l.schedule.request()
}

// endsDurable moves the acknowledgement on after a commit.
func (w *worker) endsDurable() {
	moved := false
	for len(w.marks) > 0 && w.marks[0].batch <= w.l.commits.durable {
		w.acked = w.marks[0].number
		w.marks = w.marks[1:]
		moved = true
	}
	if moved {
		w.holdSoon()
	}
}

// pause keeps the worker free of starts for a while.
func (w *worker) pause(d time.Duration) {
	w.pausedUntil = max(w.pausedUntil, w.l.s.now+d)
	w.l.schedule.at(w.pausedUntil)
}

// worked records a success.
func (w *worker) worked() { w.streak, w.streakJobs, w.quarantines, w.stalls = 0, nil, 0, 0 }

// failed records a failed run. A worker that fails what several jobs start on
// it is taken out of use for a while.
func (w *worker) failed(id structs.JobID) {
	w.streak++
	if !slices.Contains(w.streakJobs, id) {
		w.streakJobs = append(w.streakJobs, id)
	}
	if w.streak < failStreak || len(w.streakJobs) < 2 {
		return
	}
	w.isolate("it fails what it starts")
}

// isolate gives the worker no work for a while.
func (w *worker) isolate(reason string) {
	d := min(quarantine<<min(w.quarantines, 4), quarantineMax)
	w.quarantines++
	w.streak, w.streakJobs = 0, nil
	w.pause(d)
	w.l.s.decide(Decision{Part: "worker", Action: "isolated", Subject: string(w.id), Reason: reason, Age: d})
}
