package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// pressures holds what was learned about how tasks that fill disturb tasks that
// serve. It differs by pair of images: most pairs hardly matter, some raise
// tails many times over.
type pressures map[imagePair]*pairPressure

type imagePair struct{ serving, filling string }

// pairPressure counts looks at a serving task beside a filling one.
type pairPressure struct {
	missed float64 // looks that found the target missed, shared among the images that may be to blame
	calm   float64 // looks that found the tail calm
}

type pressureLevel uint8

const (
	pressureUnknown pressureLevel = iota
	pressureLight
	pressureHeavy
)

const (
	// heavyMisses are the missed looks after which a pair counts as heavy.
	heavyMisses = 0.9
	// calmPerMiss are the calm looks that outweigh one missed look.
	calmPerMiss = 8
	// lightLooks are the calm looks after which a pair without misses counts as light.
	lightLooks = 2
	// blameAge is how long a task that fills has to have run before it may be
	// to blame, and calmAge before a calm tail speaks for it: figures are of the
	// last half second.
	blameAge = 300 * time.Millisecond
	calmAge  = 900 * time.Millisecond
)

// of returns what is known of a pair.
func (p pressures) of(serving, filling string) pressureLevel {
	pair := p[imagePair{serving, filling}]
	switch {
	case pair == nil:
		return pressureUnknown
	case pair.missed >= heavyMisses && pair.missed*calmPerMiss > pair.calm:
		return pressureHeavy
	case pair.calm >= lightLooks:
		return pressureLight
	}
	return pressureUnknown
}

func (p pressures) pair(serving, filling string) *pairPressure {
	key := imagePair{serving, filling}
	if p[key] == nil {
		p[key] = &pairPressure{}
	}
	return p[key]
}

// entries returns what was learned, in a fixed order.
func (p pressures) entries() PressuresRow {
	var row PressuresRow
	for key, pair := range p {
		row.Pairs = append(row.Pairs, PressureEntry{key.serving, key.filling, pair.missed, pair.calm})
	}
	slices.SortFunc(row.Pairs, func(a, b PressureEntry) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	return row
}

// restorePressures takes in what former leaders learned.
func restorePressures(row PressuresRow) pressures {
	p := make(pressures, len(row.Pairs))
	for _, e := range row.Pairs {
		p[imagePair{e.Serving, e.Filling}] = &pairPressure{missed: e.Missed, calm: e.Calm}
	}
	return p
}

// learnPressure takes in a look at a worker: calm tails speak for the images
// beside them, missed targets against those not known to be light. Tasks whose
// image is found to be heavy are moved.
func (w *worker) learnPressure() {
	l := w.l
	now := l.s.now
	for _, s := range w.sortedRuns() {
		if s.step.TailTarget == 0 || s.atWork == 0 || now-s.atWork < blameAge {
			continue
		}
		tail := time.Duration(s.gauge) * time.Millisecond
		switch {
		case tail >= s.step.TailTarget:
			w.blame(s)
		case float64(tail) < calmRatio*float64(s.step.TailTarget):
			for image := range w.fillingImages(calmAge) {
				l.pressures.pair(s.step.Image, image).calm++
			}
		}
	}
}

// fillingImages returns the images of tasks that have filled here at full pace
// for at least the given time.
func (w *worker) fillingImages(age time.Duration) map[string]bool {
	images := make(map[string]bool)
	for _, r := range w.runs {
		if r.step.Fills && r.phase == phaseRunning && r.pace == fullPace && w.l.s.now-max(r.confirmed, r.paced) >= age {
			images[r.step.Image] = true
		}
	}
	return images
}

// blame shares a missed target among the images that may have caused it, and
// moves their tasks away.
func (w *worker) blame(s *run) {
	l := w.l
	suspects := w.fillingImages(blameAge)
	// An image alone beside the task is to blame even if it looked light before.
	if len(suspects) > 1 {
		maps.DeleteFunc(suspects, func(image string, _ bool) bool {
			return l.pressures.of(s.step.Image, image) == pressureLight
		})
	}
	for image := range suspects {
		l.pressures.pair(s.step.Image, image).missed += 1 / float64(len(suspects))
	}
	for _, r := range w.sortedRuns() {
		if r.step.Fills && r.phase == phaseRunning && suspects[r.step.Image] {
			l.moveAway(r, "disturbs tasks that serve")
		}
	}
}
