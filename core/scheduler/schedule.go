package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// passGap spaces scheduling passes, so that a burst of events costs one pass.
	passGap = 10 * time.Millisecond
	// pickCost widens the gap after a long pass: time for each worker that was
	// rated, so that passes leave time for the answers of workers and the store.
	pickCost = time.Microsecond
	// worthlessAfter is the number of times its objective after which a job is worth
	// nothing to its caller.
	worthlessAfter = 3
)

// scheduleState tells when the next scheduling pass is due.
type scheduleState struct {
	requested    bool
	armed        bool
	last         Instant
	rated        int             // workers rated in the last pass
	wakeAt       Instant         // earliest time at which a waiting task may start; 0: none
	earlyCancels []structs.JobID // cancels whose job has not been read yet
}

// request asks for a pass at the end of the event.
func (c *scheduleState) request() { c.requested = true }

// gap returns the time between the last pass and the next.
func (c *scheduleState) gap() time.Duration { return passGap + time.Duration(c.rated)*pickCost }

// at asks for a pass at an instant.
func (c *scheduleState) at(t Instant) {
	if c.wakeAt == 0 || t < c.wakeAt {
		c.wakeAt = t
	}
}

// runSchedule does a pass if one is due, or sets a timer for it.
func (l *leaderState) runSchedule() {
	c := &l.schedule
	if !l.isLoaded() || !l.valid() || c.armed {
		return
	}
	now := l.s.now
	if c.wakeAt > 0 && c.wakeAt <= now {
		c.requested, c.wakeAt = true, 0
	}
	var wait time.Duration
	switch {
	case c.requested && now >= c.last+c.gap():
		c.requested, c.last, c.rated = false, now, 0
		l.pass()
		return
	case c.requested:
		wait = c.last + c.gap() - now
	case c.wakeAt > 0:
		wait = min(c.wakeAt-now, time.Second)
	default:
		return
	}
	c.armed = true
	l.after(wait, func() { c.armed = false })
}

// pass starts what may be started, in order of rank.
func (l *leaderState) pass() {
	l.applyEarlyCancels()
	jobs := slices.Clone(l.order)
	now := l.s.now
	slices.SortStableFunc(jobs, func(a, b *job) int { return l.compareRank(a, b, now) })
	full := make(map[demand]bool) // what found no place in this pass
	for _, j := range jobs {
		if j.active() {
			l.placeJob(j, full)
		}
		if l.over {
			return
		}
	}
}

// applyEarlyCancels cancels jobs whose cancel was read before their row.
func (l *leaderState) applyEarlyCancels() {
	c := &l.schedule
	c.earlyCancels = slices.DeleteFunc(c.earlyCancels, func(id structs.JobID) bool {
		j := l.jobs[id]
		if j == nil || !j.taken {
			return false
		}
		l.cancel(j)
		return true
	})
}

// compareRank orders jobs: by priority, persistent ones first, then those that
// can still meet their objective, those that are late, and those that are worth
// nothing any more, each by how soon the objective ends.
func (l *leaderState) compareRank(a, b *job, now Instant) int {
	pa, pb := l.s.config.policyOf(&a.Job).Priority, l.s.config.policyOf(&b.Job).Priority
	if c := cmp.Compare(pa, pb); c != 0 {
		return c
	}
	if c := cmp.Compare(rankClass(a, now), rankClass(b, now)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.objective, b.objective); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func rankClass(j *job, now Instant) int {
	switch {
	case j.Persistent():
		return 0
	case now <= j.objective:
		return 1
	case now <= j.known+worthlessAfter*(j.objective-j.known):
		return 2
	}
	return 3
}

// placeJob starts the tasks of a job whose turn has come, unless the store has
// still to learn that this leader may.
func (l *leaderState) placeJob(j *job, full map[demand]bool) {
	if j.Claimed == l.epoch && !j.claimed {
		return
	}
	for k := range j.left {
		if !l.due(j, k) {
			continue
		}
		for i := range j.Steps {
			if j.left[k][i] > 0 && j.ready(k, i) {
				l.placeStep(j, k, i, full)
			}
		}
	}
}

// due reports whether an occurrence may start, and asks for a pass when it will.
func (l *leaderState) due(j *job, occurrence int) bool {
	if j.Repeat == nil {
		return true
	}
	wait := j.Repeat.FirstMS + int64(occurrence)*j.Repeat.EveryMS - l.s.wall
	if wait <= 0 {
		return true
	}
	l.schedule.at(l.s.now + time.Duration(wait)*time.Millisecond)
	return false
}

// ready reports whether all steps that a step waits for are done.
func (j *job) ready(occurrence, step int) bool {
	for _, a := range j.Steps[step].After {
		if j.left[occurrence][a] > 0 {
			return false
		}
	}
	return true
}

// placeStep starts the idle tasks of one step.
func (l *leaderState) placeStep(j *job, k, i int, full map[demand]bool) {
	if j.Steps[i].Gang {
		l.placeGang(j, k, i)
		return
	}
	wants := l.demandOf(j, i)
	if full[wants] {
		return
	}
	for index := range j.Steps[i].Count {
		ref := j.ref(k, i, index)
		n, _ := j.number(ref)
		t := &j.tasks[n]
		if j.IsDone(n) || t.run != nil || !l.startable(j, t) {
			continue
		}
		w := l.pick(j, ref, t)
		if w == nil {
			if l.s.config.policyOf(&j.Job).Advice != nil {
				l.askAdvice(j, keyOf(ref))
			} else if j.Steps[i].PerWorker == 0 {
				full[wants] = true
			}
			return
		}
		if !j.claimed {
			l.claim(j)
			return
		}
		l.start(j, ref, w, t.last+1)
	}
}

// demand is all that decides where a task finds a place, but for the limit of its
// step on one worker.
type demand struct {
	request         structs.Resources
	service, label  string
	image           string // of a task that fills
	fills, starving bool
}

func (l *leaderState) demandOf(j *job, step int) demand {
	s := &j.Steps[step]
	d := demand{request: s.Request, service: l.s.config.policyOf(&j.Job).Service, label: s.Label, fills: s.Fills}
	if s.Fills {
		d.image, d.starving = s.Image, j.starves(l.s.now)
	}
	return d
}

// startable reports whether a task may be started now.
func (l *leaderState) startable(j *job, t *task) bool {
	if j.inherited && len(l.unaccounted) > 0 {
		return false
	}
	if t.notBefore > l.s.now {
		l.schedule.at(t.notBefore)
		return false
	}
	return true
}

// placeGang starts all members of a gang at once, or none.
func (l *leaderState) placeGang(j *job, k, i int) {
	step := &j.Steps[i]
	var id structs.Run
	var checkpoint string
	for index := range step.Count {
		n, _ := j.number(j.ref(k, i, index))
		t := &j.tasks[n]
		if t.run != nil || !l.startable(j, t) {
			return
		}
		id = max(id, t.last+1)
		checkpoint = max(checkpoint, j.Checkpoints[n])
	}
	places := l.pickGang(j, k, i)
	if places == nil {
		l.askAdvice(j, stepKey{j.ID, k, i})
		return
	}
	if !j.claimed {
		l.claim(j)
		return
	}
	for index, w := range places {
		ref := j.ref(k, i, index)
		// All members resume from the same checkpoint.
		l.keepCheckpoint(j, ref, checkpoint)
		l.start(j, ref, w, id)
	}
}
