package scheduler

import (
	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// newInterference returns a model with the estimates that a former leader stored.
func newInterference(row PressuresRow) *colocation.Model {
	var bases []colocation.BaseTail
	for _, b := range row.Bases {
		bases = append(bases, colocation.BaseTail(b))
	}
	var pairs []colocation.Pair
	for _, e := range row.Pairs {
		pairs = append(pairs, colocation.Pair{Serving: e.Serving, BestEffort: e.BestEffort, Pressure: colocation.Pressure{Value: e.Value, Variance: e.Variance}})
	}
	return colocation.NewModel(bases, pairs)
}

// pressuresRow returns the learned estimates as a row of the store of at most limit
// bytes: base tails first, then the pairs with the most certain estimates.
func pressuresRow(m *colocation.Model, limit int) PressuresRow {
	bases, pairs := m.Learned()
	var all, row PressuresRow
	for _, b := range bases {
		all.Bases = append(all.Bases, BaseTailEntry(b))
	}
	for _, p := range pairs {
		all.Pairs = append(all.Pairs, PressureEntry{p.Serving, p.BestEffort, p.Value, p.Variance})
	}
	left := limit - row.bytes()
	row.Bases = fitting(all.Bases, &left)
	row.Pairs = fitting(all.Pairs, &left)
	return row
}

// fitting returns the first entries that fit into the bytes that are left, and subtracts
// their sizes.
func fitting[E interface{ bytes() int }](entries []E, left *int) []E {
	for i, e := range entries {
		if *left -= e.bytes(); *left < 0 {
			return entries[:i]
		}
	}
	return entries
}

// addColocated adds a run to those that share the worker's CPU, if it is of a serving or
// a best-effort task.
func (w *worker) addColocated(r *run) {
	r.image = w.leader.interference.RegisterImage(r.step.Image)
	switch {
	case r.step.TailTarget > 0:
		r.serving = &colocation.Serving{Image: r.image, TargetMS: r.step.TailTarget.Seconds() * 1000, Load: r.job.stepLoad(r.ref)}
		w.colocated.AddServing(r.serving)
	case r.step.BestEffort:
		r.bestEffort = &colocation.BestEffort{Image: r.image, Requested: r.step.Request.MilliCores, Saves: r.step.SavesProgress}
		w.colocated.AddBestEffort(r.bestEffort)
		w.bestEffort = append(w.bestEffort, r)
	}
}

// observeColocated updates the estimates from the gauges in the answer to a sync.
func (w *worker) observeColocated() {
	for _, r := range w.runs {
		r.updateColocated()
	}
	w.colocated.Observe(w.leader.state.now)
	w.updateUsedMilliCores()
}

// updateColocated passes on what the worker's lists show of a run.
func (r *run) updateColocated() {
	switch {
	case r.serving != nil:
		r.serving.TailMS, r.serving.Running, r.serving.Ready = float64(r.gauge), r.phase == phaseRunning, r.readySince > 0
	case r.bestEffort != nil:
		r.bestEffort.Used, r.bestEffort.Stopping = r.gauge, r.phase == phaseStopping
		r.bestEffort.Worked = r.workedAtFullSpeed(r.worker.leader.state.now)
		r.bestEffort.Remaining = r.remainingAfter(r.bestEffort.Worked)
	}
}

// imageOf returns the number of a step's image.
func (l *leaderState) imageOf(step *structs.Step) colocation.ImageID {
	return l.interference.FindImage(step.Image)
}
