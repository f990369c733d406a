package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

// Findings is what the logs tell about a subject.
type Findings struct {
	Subject  Subject
	Timeline []Entry
	Runs     []Run // by task, then number
	Overlaps []Overlap
	Causes   []Cause // in the order of the rules
	Unseen   []Unseen
}

// Entry is one line of the timeline.
type Entry struct {
	logline.Event
	Context bool // a line of a worker, leader or host that was involved
	order   int  // number of the line in the order in which the logs were read
}

// Analyse returns the findings of both passes.
func Analyse(g *Gather) Findings {
	f := Findings{Subject: g.survey.subject}
	f.Timeline = slices.Concat(g.survey.own, g.context)
	slices.SortFunc(f.Timeline, func(a, b Entry) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.order, b.order)) })
	f.Runs = collectRuns(f.Timeline)
	f.Overlaps = findOverlaps(f.Runs)
	f.Causes = findCauses(f, g)
	f.Unseen = findUnseen(f, g)
	return f
}

// firstOf returns the first entry of the subject itself with a part and an action.
func (f Findings) firstOf(part, action string) (e Entry, ok bool) {
	i := slices.IndexFunc(f.Timeline, func(e Entry) bool { return !e.Context && e.Is(part, action) })
	if i < 0 {
		return e, false
	}
	return f.Timeline[i], true
}

// Span returns the times of the first and last line of the subject itself.
func (f Findings) Span() (from, to time.Time) {
	for _, e := range f.Timeline {
		if e.Context {
			continue
		}
		if from.IsZero() {
			from = e.At
		}
		to = e.At
	}
	return from, to
}
