// Package ordering decides in which order waiting jobs get room when there is too little
// for all of them. It answers a load pattern in which more work is declared than the
// workers can do in time: a queue ordered by deadlines alone then gives room to jobs that
// are about to miss theirs anyway, and most jobs end shortly after their deadlines.
//
// Jobs of a more urgent priority come first. Among equals, jobs that can still be done
// within their objective come before those that cannot, and within each of these classes
// the order is by apparent urgency: the value per work that is left, discounted by the
// slack until the job has to run.
//
// The package decides on plain values. It does no I/O and reads no clock.
package ordering

import (
	"cmp"
	"math"
	"time"
)

// Job describes a waiting job at the time of a decision.
type Job struct {
	Priority   int           // of its queue; lower numbers come first
	Persistent bool          // it runs until it is cancelled
	Age        time.Duration // since it was accepted
	Objective  time.Duration // from its acceptance to the time by which it should be done
	// CriticalPath is the expected run time of the longest chain of its steps that is left.
	CriticalPath time.Duration
	Work         float64 // expected work of its tasks that wait, in core-seconds
	Value        float64 // to its caller if it is done within its objective
}

const (
	// WorthlessFactor times a job's objective is the age after which it has no value to
	// its caller.
	WorthlessFactor = 3
	// minWork bounds the work that is left from below, in core-seconds, so that jobs
	// without estimates do not get an unbounded urgency.
	minWork = 0.01
)

// class is the first criterion of the order within a priority.
type class uint8

const (
	classPersistent class = iota // it serves requests, and is down while it waits
	classStarving                // it has had no room for very long
	classOnTime                  // it can be done within its objective
	classLate                    // it can be done before it has no value
	classWorthless
)

// Rank is the place of a job in the order at the time of a decision.
type Rank struct {
	priority int
	class    class
	urgency  float64 // higher comes first
}

const (
	// lookaheadPaths usual critical paths, and lookaheadWaits times the expected wait, are the
	// slack within which the urgency of a job falls by the factor e. With a shorter one the
	// order nears that by slack, which is poor under a long overload; with a longer one that
	// by value per work, which delays large jobs. Slack that is below the wait for room does
	// not tell jobs apart.
	lookaheadPaths = 3
	lookaheadWaits = 2
)

// Lookahead returns the scale on which slack counts, from the critical path of a usual job
// and the time in which the work that waits is done.
func Lookahead(usualPath, wait time.Duration) time.Duration {
	return max(lookaheadPaths*usualPath, lookaheadWaits*wait)
}

// RankOf returns the rank of a job.
func RankOf(j Job, lookahead time.Duration) Rank {
	r := Rank{priority: j.Priority}
	onTime := j.Objective - j.Age - j.CriticalPath
	useful := WorthlessFactor*j.Objective - j.Age - j.CriticalPath
	switch {
	case j.Persistent:
		r.class, r.urgency = classPersistent, j.Age.Seconds()
	case onTime >= 0:
		r.class, r.urgency = classOnTime, urgency(j, onTime, lookahead)
	case useful >= 0:
		r.class, r.urgency = classLate, urgency(j, useful, lookahead)
	default:
		r.class, r.urgency = classWorthless, j.Age.Seconds()
	}
	return r
}

// urgency is the apparent tardiness cost of a job: the value for each core-second that
// it still needs, discounted by its slack.
func urgency(j Job, slack, lookahead time.Duration) float64 {
	discount := math.Exp(-slack.Seconds() / max(lookahead.Seconds(), time.Millisecond.Seconds()))
	return j.Value / max(j.Work, minWork) * discount
}

// Compare orders ranks; a negative result puts r first.
func (r Rank) Compare(o Rank) int {
	if c := cmp.Compare(r.priority, o.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(r.class, o.class); c != 0 {
		return c
	}
	return cmp.Compare(o.urgency, r.urgency)
}

// Promote returns the rank of a job that starves: in front of the other finite jobs of its
// priority.
func (r Rank) Promote() Rank {
	r.class = min(r.class, classStarving)
	return r
}

// Starves reports whether a job has had no run for so long that it may be promoted. Of each
// priority only the job that has waited longest is promoted: otherwise a long overload would
// end in the order of arrival, in which most jobs are late.
func Starves(j Job, idle time.Duration) bool {
	return !j.Persistent && idle > max(starvationFactor*j.Objective, minStarvation)
}

const (
	// starvationFactor times its objective, and minStarvation at least, is how long a job
	// may wait without a run.
	starvationFactor = 2 * WorthlessFactor
	minStarvation    = time.Minute
)

const (
	// jobShare is the part of the value of a usual job that any job has, whatever its work:
	// its caller waits for one answer. The rest grows with the work that it asks for, up to
	// maxRelativeWork.
	jobShare        = 0.5
	maxRelativeWork = 4
)

// Value returns the value of a job to its caller, relative to a job with the mean work of
// its queue. Works are in core-seconds.
func Value(work, mean float64) float64 {
	return jobShare + (1-jobShare)*min(work/max(mean, minWork), maxRelativeWork)
}
