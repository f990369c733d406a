package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// lateStartWindow is how long after a start without an answer its worker may still
	// carry it out.
	lateStartWindow = 15 * time.Second
	// maxLateStarts bounds the starts without an answer that are remembered for a worker.
	maxLateStarts = 256
)

// lateStart is a start without an answer, which its worker may carry out later.
type lateStart struct {
	key    runKey
	sentAt Instant
}

// rememberLateStart records a start without an answer. A stop that the worker has
// acknowledged keeps this incarnation from carrying it out, but not the next one.
func (w *worker) rememberLateStart(r *run) {
	w.forgetLateStarts()
	start := lateStart{r.key(), r.startSentAt}
	if len(w.lateStarts) < maxLateStarts && !slices.Contains(w.lateStarts, start) {
		w.lateStarts = append(w.lateStarts, start)
	}
}

// forgetLateStarts forgets the starts that are not carried out any more.
func (w *worker) forgetLateStarts() {
	now := w.leader.state.now
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(s lateStart) bool { return now-s.sentAt > lateStartWindow })
}

// refuseLateStarts has the next incarnation of a worker refuse the starts that were meant
// for former ones: a worker refuses a run that was stopped before it began. The runs
// that the leader keeps there are settled by the lists.
func (w *worker) refuseLateStarts() {
	w.forgetLateStarts()
	for _, s := range w.lateStarts {
		if w.runs[s.key] == nil {
			w.refuseLateStart(s)
		}
	}
}

func (w *worker) refuseLateStart(s lateStart) {
	l := w.leader
	if l.workers[w.id] != w || l.state.now-s.sentAt > lateStartWindow {
		return
	}
	if !l.leaseValid() {
		l.after(stopRetryInterval, func() { w.refuseLateStart(s) })
		return
	}
	l.state.logDecision(Decision{
		Part: "task", Action: "stop ordered", Subject: taskName(s.key.ref), Where: string(w.id), Number: uint64(s.key.id),
		Reason: "a start without an answer may come late", Age: l.state.now - s.sentAt,
	})
	e := StopTask{WorkerCommand: l.newCommand(w), Task: s.key.ref, Run: s.key.id}
	e.ID = l.expectAnswer(func(o CommandDone) {
		if o.Outcome != structs.OutcomeDone {
			l.after(stopRetryInterval, func() { w.refuseLateStart(s) })
		}
	})
	l.state.emit(e)
}
