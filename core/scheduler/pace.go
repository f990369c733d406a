package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	fullPace    = 100
	unknownPace = -1 // of an adopted run: the former leader may have paced it
	// calmRatio is the tail of a serving task, as a share of its target, below
	// which the tasks beside it are taken not to disturb it.
	calmRatio = 0.7
	// paceAfter is how long a task that serves may miss its target, where no
	// single image is to blame, before all tasks that fill beside it are slowed.
	paceAfter = time.Second
	// paceHold is how long a pace lasts before the next one: an order takes
	// effect after a tenth of a second and shows in figures of half a second.
	paceHold = 700 * time.Millisecond
	// paceRise is how long tails have to be calm before the pace rises.
	paceRise = time.Second
	// evictAfter is how long tasks that fill stand still before they are moved.
	evictAfter = time.Second
	// stallAfter is how long a run may show no progress before it is started elsewhere.
	stallAfter = 2500 * time.Millisecond
)

// paceLevels are the shares of work, in percent, at which tasks that fill may go on.
var paceLevels = [...]int{0, 30, 60, fullPace}

// paceState is how fast the tasks that fill on one worker may work.
type paceState struct {
	level     int
	changed   Instant
	calmSince Instant // 0: tails are not calm
	overSince Instant // 0: no target is missed
}

// shared reports whether tasks that serve and tasks that fill run here.
func (w *worker) shared() bool { return len(w.serving) > 0 && len(w.filling) > 0 }

// worstTail returns the highest tail of a serving task as a share of its target.
func (w *worker) worstTail() float64 {
	var worst float64
	for _, r := range w.serving {
		if r.phase == phaseRunning {
			tail := time.Duration(r.gauge) * time.Millisecond
			worst = max(worst, float64(tail)/float64(r.step.TailTarget))
		}
	}
	return worst
}

// controlPace protects tasks that serve. Tasks that fill are moved or slowed by
// what is known of their images; a target that is missed all the same slows all of
// them, whatever the estimates say.
func (w *worker) controlPace() {
	w.observeInterference()
	p := &w.pace
	now := w.l.s.now
	worst := w.worstTail()
	since(&p.calmSince, worst < calmRatio, now)
	since(&p.overSince, worst >= 1, now)
	level := paceIndex(p.level)
	switch {
	case now-p.changed < paceHold:
	case p.overSince > 0 && now-p.overSince >= paceAfter:
		level--
	case p.calmSince > 0 && now-p.calmSince >= paceRise:
		level++
	}
	w.setLevel(paceLevels[min(max(level, 0), len(paceLevels)-1)], worst)
	w.setPaces()
	w.evictStill()
}

func (w *worker) setLevel(level int, worst float64) {
	if level == w.pace.level {
		return
	}
	w.pace.level, w.pace.changed = level, w.l.s.now
	if w.shared() {
		w.l.s.decide(Decision{Part: "worker", Action: "pace of filling tasks set", Subject: string(w.id), Number: uint64(level), Reason: ratioText(worst)})
	}
}

// setPaces orders the pace of each task that fills. A pace falls at once, and
// rises where there is some room to spare.
func (w *worker) setPaces() {
	if len(w.filling) == 0 {
		return
	}
	paces := w.relieve(0)
	raised := paces
	for i, f := range w.filling {
		if f.pace < paces[i] {
			raised = w.relieve(raiseMargin)
			break
		}
	}
	for i, f := range w.filling {
		if f.phase != phaseRunning || f.paceBusy {
			continue
		}
		pace := paces[i]
		if f.pace != unknownPace && pace > f.pace {
			if pace = max(f.pace, raised[i]); w.l.s.now-f.paced < paceHold {
				continue
			}
		}
		if pace != f.pace {
			w.l.sendPace(f, pace)
		}
	}
}

// since keeps the time at which a condition began to hold; 0 while it does not.
func since(at *Instant, holds bool, now Instant) {
	switch {
	case !holds:
		*at = 0
	case *at == 0:
		*at = now
	}
}

func paceIndex(level int) int {
	for i, v := range paceLevels {
		if v >= level {
			return i
		}
	}
	return len(paceLevels) - 1
}

func ratioText(worst float64) string {
	return "worst tail at " + strconv.Itoa(int(100*worst)) + "% of its target"
}

func (l *leaderState) sendPace(r *run, level int) {
	if !l.valid() {
		return
	}
	r.paceBusy = true
	e := PaceTask{Order: l.orderTo(r.w), Task: r.ref, Run: r.id, Percent: level}
	e.ID = l.expectOrder(func(o Ordered) {
		r.paceBusy = false
		if o.Outcome == structs.OutcomeDone {
			r.pace = level
			r.moved, r.paced = l.s.now, l.s.now
		} else {
			r.pace = unknownPace
		}
	})
	l.s.emit(e)
}

// evictStill moves tasks that stand still because of the pace.
func (w *worker) evictStill() {
	for _, f := range slices.Clone(w.filling) {
		if f.phase == phaseRunning && f.pace == 0 && w.l.s.now-f.paced >= evictAfter {
			w.l.moveAway(f, "stands still beside tasks that serve")
		}
	}
}

// checkStalls starts runs that show no progress elsewhere.
func (w *worker) checkStalls() {
	now := w.l.s.now
	for _, r := range w.sortedRuns() {
		if r.phase != phaseRunning || r.pace != fullPace {
			continue
		}
		if !r.stalled(now) {
			continue
		}
		w.l.moveAway(r, "no progress")
		w.stalls++
		if w.stalls >= 2 {
			w.stalls = 0
			w.isolate("tasks stand still")
		}
	}
}

func (r *run) stalled(now Instant) bool {
	if r.step.Persistent && r.percent == fullPace {
		return false // at work
	}
	return now-max(r.moved, r.confirmed) > stallAfter
}
