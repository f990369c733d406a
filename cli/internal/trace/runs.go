package trace

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Run is one run of a task as the logs show it. A zero time means that no line
// shows the event.
type Run struct {
	Task          string
	Number        uint64
	Worker        string
	Leader        string // host that ordered the start, or that took the run over
	Epoch         uint64 // of the leader; 0: not known
	Ordered       time.Time
	Confirmed     time.Time // first line that shows that the worker has had the run
	StopOrdered   time.Time
	Ended         time.Time // when the leader learned of the end or gave the run up
	Outcome       string    // done, failed, stopped, lost, refused, not listed; empty: no end in the logs
	Reason        string    // of the stop, the loss or the refusal
	Kept          bool      // kept when its worker started again
	Unanswered    bool      // the order to start had no answer
	GivenUp       time.Time // when the leader took it for lost
	ListedAfter   bool      // the worker listed the run, or its end, after the leader had taken it for lost
	StartNotInLog bool
	holder        string // leader that ordered the start or adopted the run last
}

// Outcomes of a run that are not taken from the log line.
const (
	OutcomeLost    = "lost"
	OutcomeRefused = "refused"
	// OutcomeNotListed is that of a run that was not on the lists that the next
	// leader read from its worker.
	OutcomeNotListed = "not listed"
)

const endListedPrefix = "end listed: "

// maxListingDelay is the time within which a sync lists an end, so that an end that
// is listed this long after the next start does not show an overlap by itself.
const maxListingDelay = time.Second

type runKey struct {
	task   string
	number uint64
	worker string
}

// collectRuns returns the runs that the lines of a timeline show.
func collectRuns(timeline []Entry) []Run {
	byKey, leads := make(map[runKey]*Run), newLeads()
	for _, e := range timeline {
		leads.add(e)
		if e.Is("worker", "lists read") {
			markNotListed(byKey, e)
		}
		if e.Part != "task" || e.Context || e.Where == "" {
			continue
		}
		key := runKey{e.Subject, e.Version, e.Where}
		r := byKey[key]
		if r == nil {
			r = &Run{Task: e.Subject, Number: e.Version, Worker: e.Where, StartNotInLog: true}
			byKey[key] = r
		}
		r.apply(e, leads)
	}
	runs := make([]Run, 0, len(byKey))
	for _, r := range byKey {
		runs = append(runs, *r)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

func compareRuns(a, b Run) int {
	return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number), strings.Compare(a.Worker, b.Worker))
}

// apply takes over one line about the run.
func (r *Run) apply(e Entry, leads *leads) {
	switch {
	case e.Action == "start ordered":
		r.Ordered, r.StartNotInLog = e.At, false
		r.Leader, r.Epoch, r.holder = e.Writer, leads.epochOf(e.Writer), e.Writer
	case e.Action == "start refused":
		r.end(e, OutcomeRefused)
	case e.Action == "start without an answer":
		r.Unanswered = true
	case e.Action == "run adopted":
		r.confirm(e)
		r.holder = e.Writer
		if r.StartNotInLog {
			r.Leader, r.Epoch = e.Writer, leads.epochOf(e.Writer)
		}
	case e.Action == "run kept":
		r.Kept = true
	case e.Action == "stop ordered":
		r.StopOrdered, r.Reason = e.At, e.Reason
		r.ListedAfter = r.ListedAfter || !r.GivenUp.IsZero()
	case e.Action == "run lost":
		r.end(e, OutcomeLost)
		r.GivenUp = e.At
	case strings.HasPrefix(e.Action, endListedPrefix):
		r.confirm(e)
		r.Ended, r.Outcome = e.At, strings.TrimPrefix(e.Action, endListedPrefix)
	}
}

// markNotListed ends the runs of former leaders on a worker whose lists a leader has
// read. It has adopted the runs on these lists before.
func markNotListed(runs map[runKey]*Run, e Entry) {
	for _, r := range runs {
		if r.Worker == e.Subject && r.Outcome == "" && r.holder != e.Writer {
			r.Ended, r.Outcome = e.At, OutcomeNotListed
		}
	}
}

func (r *Run) confirm(e Entry) {
	if r.Confirmed.IsZero() {
		r.Confirmed = e.At
	}
	r.ListedAfter = r.ListedAfter || !r.GivenUp.IsZero()
}

func (r *Run) end(e Entry, outcome string) {
	r.Ended, r.Outcome, r.Reason = e.At, outcome, e.Reason
}

// began returns the time from which the run may have existed.
func (r Run) began() time.Time {
	if r.Ordered.IsZero() {
		return r.Confirmed
	}
	return r.Ordered
}

// Overlap is a time in which two runs of one task may both have run.
type Overlap struct {
	Task          string
	First, Second Run
	From, To      time.Time // zero To: no end in the logs
	Shown         bool      // the worker of the first run listed it after the second was ordered
}

// findOverlaps compares each run with the later runs of its task.
func findOverlaps(runs []Run) []Overlap {
	var overlaps []Overlap
	for i, first := range runs {
		for _, second := range runs[i+1:] {
			if second.Task != first.Task {
				break
			}
			if o, ok := overlapOf(first, second); ok {
				overlaps = append(overlaps, o)
			}
		}
	}
	return overlaps
}

func overlapOf(first, second Run) (o Overlap, ok bool) {
	if first.Outcome == OutcomeRefused || second.Outcome == OutcomeRefused || second.began().IsZero() {
		return o, false
	}
	if second.began().Before(first.began()) {
		first, second = second, first
	}
	if !first.Ended.IsZero() && !first.Ended.After(second.began()) {
		return o, false
	}
	o = Overlap{Task: first.Task, First: first, Second: second, From: second.began(), To: first.Ended}
	if !second.Ended.IsZero() && (o.To.IsZero() || second.Ended.Before(o.To)) {
		o.To = second.Ended
	}
	o.Shown = first.ListedAfter && first.Ended.Sub(second.began()) > maxListingDelay
	return o, true
}

// leads follows which epoch each host leads.
type leads struct{ epochs map[string]map[string]uint64 } // by host and shard

func newLeads() *leads { return &leads{epochs: make(map[string]map[string]uint64)} }

func (l *leads) add(e Entry) {
	switch {
	case e.Is("leader", "took the lead"):
		if l.epochs[e.Writer] == nil {
			l.epochs[e.Writer] = make(map[string]uint64)
		}
		l.epochs[e.Writer][e.Where] = e.Version
	case e.Is("leader", "gave up the lead"):
		delete(l.epochs[e.Writer], e.Where)
	}
}

// epochOf returns the epoch of a host, or 0 when the lines do not tell it: none
// was seen, or the host leads several shards with different epochs.
func (l *leads) epochOf(host string) uint64 {
	var epoch uint64
	for _, e := range l.epochs[host] {
		if epoch != 0 && e != epoch {
			return 0
		}
		epoch = e
	}
	return epoch
}
