package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
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
)

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
