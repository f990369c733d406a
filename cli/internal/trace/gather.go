package trace

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

const maxContextEvents = 100_000 // lines of workers, leaders and hosts involved

// Gather is the second pass over the logs. It adds the lines of the workers,
// leaders and hosts that were involved, close to the lines of the subject.
type Gather struct {
	survey   *Survey
	window   time.Duration
	from, to time.Time
	workers  map[string]*involvement
	hosts    map[string]bool // hosts that wrote lines of the subject
	shards   map[string]bool // shards of the subject; empty: not known
	context  []Entry
	read     int // events taken
	dropped  int // lines beyond the limit
}

// NewGather returns the second pass. The window is the time before and after a line
// of the subject in which lines of those involved are taken.
func NewGather(survey *Survey, window time.Duration) *Gather {
	g := &Gather{survey: survey, window: window, workers: make(map[string]*involvement), hosts: make(map[string]bool), shards: make(map[string]bool)}
	g.from, g.to = survey.span()
	for _, e := range survey.own {
		g.involve(e.Event)
	}
	for _, w := range g.workers {
		slices.SortFunc(w.times, time.Time.Compare)
	}
	for _, e := range survey.leaders {
		if g.isLeaderContext(e.Event) {
			g.context = append(g.context, e)
		}
	}
	return g
}

func (g *Gather) involve(e logline.Event) {
	g.hosts[e.Writer] = true
	if e.Part == "task" && workerPattern.MatchString(e.Where) {
		g.involveWorker(e)
	}
	if shard := shardOf(e); shard != "" {
		g.shards[shard] = true
	}
}

// involvement says when a worker had to do with the subject.
type involvement struct {
	times []time.Time // of the subject's lines that name the worker, sorted
	open  map[runKey]bool
}

func (g *Gather) involveWorker(e logline.Event) {
	w := g.workers[e.Where]
	if w == nil {
		w = &involvement{open: make(map[runKey]bool)}
		g.workers[e.Where] = w
	}
	w.times = append(w.times, e.At)
	key := runKey{e.Subject, e.Version, e.Where}
	switch {
	case e.Action == "start ordered" || e.Action == "run adopted":
		w.open[key] = true
	case e.Action == "run lost" || e.Action == "start refused" || strings.HasPrefix(e.Action, endListedPrefix):
		delete(w.open, key)
	}
}

// shardOf returns the shard that a line gives its job.
func shardOf(e logline.Event) string {
	switch {
	case e.Is("request", "job accepted") && shardPattern.MatchString(e.Reason):
		return e.Reason
	case e.Part == "job" && shardPattern.MatchString(e.Where):
		return e.Where
	}
	return ""
}

// isLeaderContext reports whether a line of a leader belongs to the shards of the
// subject and to its time. Earlier takeovers tell the epoch of the leader.
func (g *Gather) isLeaderContext(e logline.Event) bool {
	if len(g.survey.own) == 0 || !g.isOfShard(e) {
		return false
	}
	tellsEpoch := e.Action == "took the lead" && e.At.Before(g.to)
	return tellsEpoch || g.isNear(e.At)
}

func (g *Gather) isOfShard(e logline.Event) bool {
	return len(g.shards) == 0 || g.shards[e.Where] || g.shards[e.Reason] || !shardPattern.MatchString(e.Where)
}

func (g *Gather) isNear(at time.Time) bool {
	return !at.Before(g.from.Add(-g.window)) && !at.After(g.to.Add(g.window))
}

// Add takes the next event.
func (g *Gather) Add(e logline.Event) {
	g.read++
	if g.survey.subject.names(e) || !g.isContext(e) {
		return
	}
	if len(g.context) >= maxContextEvents {
		g.dropped++
		return
	}
	g.context = append(g.context, Entry{Event: e, order: g.read, Context: true})
}

func (g *Gather) isContext(e logline.Event) bool {
	switch e.Part {
	case "worker":
		return g.isNearWorker(e) || stateActions[e.Action] && g.mayRunOn(e.Subject, e.At)
	case "host", "store", "config", "log":
		return g.hosts[e.Writer] && g.isNear(e.At)
	}
	return false
}

// stateActions are the actions on a worker that decide about its runs.
var stateActions = map[string]bool{
	"started again": true, "gone": true, "does not answer": true, "lists read": true, "left the list": true, "drains": true, "isolated": true,
}

// isNearWorker reports whether the worker of a line was involved within the window.
func (g *Gather) isNearWorker(e logline.Event) bool {
	w := g.workers[e.Subject]
	if w == nil {
		return false
	}
	i := sort.Search(len(w.times), func(i int) bool { return !w.times[i].Before(e.At.Add(-g.window)) })
	return i < len(w.times) && !w.times[i].After(e.At.Add(g.window))
}

// mayRunOn reports whether a run of the subject may have been on a worker at a time.
func (g *Gather) mayRunOn(worker string, at time.Time) bool {
	w := g.workers[worker]
	if w == nil || at.Before(w.times[0]) {
		return false
	}
	last := w.times[len(w.times)-1]
	if len(w.open) > 0 {
		last = g.to
	}
	return !at.After(last.Add(g.window))
}
