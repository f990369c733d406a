package scheduler

import (
	"slices"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// servingUse is the share of their processors that tasks that serve are
	// taken to use, where tasks that fill get the rest.
	servingUse = 0.55
	// Weights of a score, beside the share of idle processors.
	tailWeight  = 0.2 // of the worst tail as a share of its target
	spareWeight = 4.0 // of what a task that fills leaves of a serving task at the crest of its load
	imageWeight = 1.0 // of the share of serving tasks here that have the task's own image
)

// filter reports whether a task may be started on a worker.
func (l *leaderState) filter(w *worker, j *job, step *structs.Step, policy *structs.Policy) bool {
	if w.entry.Service != policy.Service || !w.usable() {
		return false
	}
	if !occupies(step).Add(w.taken).Fits(w.entry.Capacity) {
		return false
	}
	if step.Label != "" && !slices.Contains(w.entry.Labels, step.Label) {
		return false
	}
	return !step.Fills || w.pace.level == fullPace && w.idleCores() >= step.Request.MilliCores ||
		j.starves(l.s.now) && w.takesStarved()
}

// usable reports whether anything may be started on the worker now.
func (w *worker) usable() bool {
	return w.listed && !w.entry.Draining && w.synced && w.used && w.failures == 0 && w.pausedUntil <= w.l.s.now
}

// spread reports whether one more task of a step may run on the worker.
func (w *worker) spread(ref structs.TaskRef, step *structs.Step) bool {
	if step.PerWorker == 0 {
		return true
	}
	n := 0
	for key := range w.runs {
		if key.ref.Job == ref.Job && key.ref.Step == ref.Step && key.ref.Occurrence == ref.Occurrence {
			n++
		}
	}
	return n < step.PerWorker
}

// idleCores returns the processors, in thousandths, that tasks that fill may use.
func (w *worker) idleCores() int64 { return w.entry.Capacity.MilliCores - w.busy }

// uses returns the processors, in thousandths, that a task is taken to use.
func uses(step *structs.Step) int64 {
	if step.TailTarget > 0 {
		return int64(servingUse * float64(step.Request.MilliCores))
	}
	return step.Request.MilliCores
}

// takesStarved reports whether a task that fills may run here for a while
// although it may disturb: nothing is disturbed now, and nothing else fills.
func (w *worker) takesStarved() bool {
	return w.worstTail() < calmRatio && !w.shared()
}

// sameImage returns the share of the serving tasks here that have an image.
// Tasks that fill find more room where few images serve.
func (w *worker) sameImage(image imageID) float64 {
	if len(w.serving) == 0 {
		return 0
	}
	same := 0
	for _, r := range w.serving {
		if r.image == image {
			same++
		}
	}
	return float64(same) / float64(len(w.serving))
}

// score rates a worker that passed the filter; higher is better. Load is spread,
// and slow places are avoided. It returns false where a task that fills would
// disturb tasks that serve.
func (l *leaderState) score(w *worker, j *job, step *structs.Step, image imageID) (float64, bool) {
	capacity := float64(max(w.entry.Capacity.MilliCores, 1))
	var score float64
	switch {
	case step.Fills:
		endures, spare := w.endures(image, step.Request.MilliCores)
		if !endures && !(j.starves(l.s.now) && w.takesStarved()) {
			return 0, false
		}
		score = float64(w.idleCores())/capacity - tailWeight*w.worstTail() + spareWeight*spare
	case step.TailTarget > 0:
		score = float64(w.entry.Capacity.MilliCores-w.taken.MilliCores)/capacity + imageWeight*w.sameImage(image)
	default:
		score = float64(w.entry.Capacity.MilliCores-w.taken.MilliCores) / capacity
	}
	if step.DataRack != "" && !slices.Contains(w.entry.Labels, step.DataRack) {
		score -= 1
	}
	return score, true
}

// pick returns the best worker for a task, or nil. A task stays away from
// workers on which it has failed while there are others.
func (l *leaderState) pick(j *job, ref structs.TaskRef, t *task) *worker {
	step := &j.Steps[ref.Step]
	policy := l.s.config.policyOf(&j.Job)
	image := l.interference.id(step.Image)
	var best, fallback *worker
	var bestScore, fallbackScore float64
	for _, id := range l.ids {
		w := l.workers[id]
		if !l.filter(w, j, step, policy) || !w.spread(ref, step) {
			continue
		}
		if _, may := l.ticketFor(w, keyOf(ref), policy); !may {
			continue
		}
		l.schedule.rated++
		score, ok := l.score(w, j, step, image)
		switch {
		case !ok:
		case slices.Contains(t.avoid, id):
			if fallback == nil || score > fallbackScore {
				fallback, fallbackScore = w, score
			}
		case best == nil || score > bestScore:
			best, bestScore = w, score
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// pickGang returns a worker for each member of a gang, on one rack if the gang
// asks for it and one has room, or nil.
func (l *leaderState) pickGang(j *job, k, i int) []*worker {
	step := &j.Steps[i]
	if step.SameRack {
		for _, rack := range l.racks() {
			if places := l.packGang(j, k, i, rack); places != nil {
				return places
			}
		}
	}
	return l.packGang(j, k, i, "")
}

// racks returns all labels of workers; a worker's labels are its kind and rack.
func (l *leaderState) racks() []string {
	var labels []string
	for _, id := range l.ids {
		for _, label := range l.workers[id].entry.Labels {
			if !slices.Contains(labels, label) {
				labels = append(labels, label)
			}
		}
	}
	slices.Sort(labels)
	return labels
}

func (l *leaderState) packGang(j *job, k, i int, label string) []*worker {
	step := &j.Steps[i]
	policy := l.s.config.policyOf(&j.Job)
	image := l.interference.id(step.Image)
	extra := make(map[*worker]structs.Resources)
	count := make(map[*worker]int)
	var places []*worker
	for range step.Count {
		var best *worker
		var bestScore float64
		for _, id := range l.ids {
			w := l.workers[id]
			if label != "" && !slices.Contains(w.entry.Labels, label) {
				continue
			}
			if !l.filter(w, j, step, policy) || step.PerWorker > 0 && count[w] >= step.PerWorker {
				continue
			}
			if _, may := l.ticketFor(w, stepKey{j.ID, k, i}, policy); !may {
				continue
			}
			if !occupies(step).Add(extra[w]).Add(w.taken).Fits(w.entry.Capacity) {
				continue
			}
			score, ok := l.score(w, j, step, image)
			if !ok {
				continue
			}
			score -= float64(extra[w].MilliCores) / float64(max(w.entry.Capacity.MilliCores, 1))
			if best == nil || score > bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return nil
		}
		extra[best] = extra[best].Add(occupies(step))
		count[best]++
		places = append(places, best)
	}
	return places
}
