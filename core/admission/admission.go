package admission

import (
	"math/bits"
	"time"
)

// Work is an amount of work, in millicore-seconds by declared run times.
type Work int64

// CoreSecond is the work of one processor in one second.
const CoreSecond Work = 1000

// Sizes is the number of sizes of jobs that are told apart. Each is twice the one below it;
// the smallest has under one core-second of waiting work, the last has no limit.
const Sizes = 12

// BySize holds waiting work by the size of its jobs.
type BySize [Sizes]Work

// SizeOf returns the size of a job by its waiting work.
func SizeOf(w Work) int {
	return min(bits.Len64(uint64(max(w, 0)/CoreSecond)), Sizes-1)
}

// Class is the load of one priority of a service in one shard.
type Class struct {
	Priority int     // lower numbers are placed first
	Waiting  Work    // of the tasks that have no run, whether their steps are ready or not
	OnTime   BySize  // the part of Waiting in jobs that can still meet their objectives
	Tasks    int     // number of the tasks in Waiting
	Running  int64   // requested by the tasks that run, in millicores
	Rate     float64 // work done per second, in millicores; 0: no task has ended lately
}

// Report is what the leader of one shard has published about a service.
type Report struct {
	Age      time.Duration // since it was written
	Measured time.Duration // how long its leader has measured the rates
	RoomFree bool          // a task of the job finds room once all waiting tasks have theirs
	Classes  []Class
}

// Demand is a job that asks for admission.
type Demand struct {
	Priority int
	Work     Work
	// CriticalPath is the declared run time of the longest chain of dependent steps.
	CriticalPath    time.Duration
	Stretch         float64 // objective: Stretch times the critical path, plus Slack
	Slack           time.Duration
	WorthlessFactor float64 // a job has no value to its caller after this many times its objective
}

// Limits are the bounds of a decision.
type Limits struct {
	MaxAge       time.Duration // older reports say nothing
	MinMeasured  time.Duration // rates measured for less time say nothing
	MaxTasks     int           // waiting tasks of a service in one shard, of all priorities
	MostUrgent   int           // lowest priority number of the service
	MinRetry     time.Duration
	MaxRetry     time.Duration
	RandomFactor float64 // from 0 up to 1; spreads the retries of callers that are refused at once
}

// Reason is why a job is accepted or refused.
type Reason uint8

// The reasons. The job is refused for the last two.
const (
	ReasonUnknown   Reason = iota // some report is missing, too old, or from a leader that is new
	ReasonRoomFree                // there is free room
	ReasonInTime                  // the job can be done while it has value to its caller
	ReasonWorthless               // the job would be done too late to have any value
	ReasonQueueFull               // as many tasks wait as a leader can hold
)

// Decision is the outcome for one job.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // if it is refused
	Ahead      Work          // waiting work that is served before the job, where that is least
	Completion time.Duration // estimated, in the same shard
	Limit      time.Duration // age at which the job has no value to its caller
	Age        time.Duration // of the oldest report, if the job is refused
}

// Refused reports whether the job is refused.
func (d Decision) Refused() bool { return d.Reason >= ReasonWorthless }

const (
	// estimateError is how far a declared run time may be off, as a share of it.
	estimateError = 0.5
	// urgentShare is the part of a full queue, one in so many, that is left for the most
	// urgent priority of a service.
	urgentShare = 2
	// fullQueueRetry is the part of the wait behind a full queue after which a job may try
	// again.
	fullQueueRetry = 0.5
	// retrySpread is the largest share by which a retry is delayed at random.
	retrySpread = 0.5
)

// Decide decides on a job from one report for each shard with workers of its service. A job
// is refused only if it would be worthless in every shard by an optimistic estimate, or
// would not fit into any queue.
func Decide(d Demand, reports []Report, limits Limits) Decision {
	best := Decision{Reason: ReasonUnknown}
	var oldest time.Duration
	for i := range reports {
		r := &reports[i]
		if r.Age > limits.MaxAge || r.Age < -limits.MaxAge || r.Measured < limits.MinMeasured {
			return Decision{Reason: ReasonUnknown}
		}
		oldest = max(oldest, r.Age)
		got := d.decideIn(r, &limits)
		if !got.Refused() {
			return got
		}
		if i == 0 || got.RetryAfter < best.RetryAfter {
			best = got
		}
	}
	if best.Refused() {
		best.RetryAfter, best.Age = limits.spread(best.RetryAfter), oldest
	}
	return best
}

// decideIn decides on a job in one shard. RetryAfter is not bounded yet.
func (d *Demand) decideIn(r *Report, limits *Limits) Decision {
	if r.RoomFree {
		return Decision{Reason: ReasonRoomFree}
	}
	rate, total := r.rates(d.Priority)
	if total <= 0 {
		return Decision{Reason: ReasonUnknown} // nothing runs, so that nothing is known of the room
	}
	out := Decision{Reason: ReasonInTime, Ahead: r.ahead(d.Priority, SizeOf(d.Work)), Limit: scale(d.objective(1+estimateError), d.WorthlessFactor)}
	wait := duration(out.Ahead, rate)
	out.Completion = wait + max(scale(d.CriticalPath, 1-estimateError), duration(d.Work, total*(1+estimateError)))
	switch {
	case r.full(d.Priority, limits):
		out.Reason = ReasonQueueFull
		out.RetryAfter = scale(wait, fullQueueRetry)
	case out.Completion > out.Limit:
		out.Reason = ReasonWorthless
		out.RetryAfter = out.Completion - d.objective(1)
	}
	return out
}

// objective returns by when the job should be done, with its critical path scaled by a factor.
func (d *Demand) objective(factor float64) time.Duration {
	return scale(d.CriticalPath, d.Stretch*factor) + d.Slack
}

// ahead returns the waiting work that is certainly served before a new job: that of higher
// priorities, and of its own priority that of smaller jobs which can still be on time.
func (r *Report) ahead(priority, size int) Work {
	var ahead Work
	for i := range r.Classes {
		switch c := &r.Classes[i]; {
		case c.Priority < priority:
			ahead += c.Waiting
		case c.Priority == priority:
			for _, w := range c.OnTime[:size] {
				ahead += w
			}
		}
	}
	return ahead
}

// rates returns the rate at which work of a priority can be done, which is what it and
// the lower priorities are given now, and that of all priorities. While nothing of the
// former is done, higher priorities may cease at any time and leave it all their room.
func (r *Report) rates(priority int) (own, total float64) {
	higherWaits := false
	for i := range r.Classes {
		c := &r.Classes[i]
		rate := c.CurrentRate()
		total += rate
		if c.Priority >= priority {
			own += rate
		} else if c.Waiting > 0 {
			higherWaits = true
		}
	}
	if own <= 0 || higherWaits {
		own = total // what the higher priorities wait for is part of what is ahead
	}
	return own, total
}

// CurrentRate returns at what rate work of the class is done. Until a task has ended, it is what
// its tasks request.
func (c *Class) CurrentRate() float64 {
	if c.Rate > 0 {
		return c.Rate
	}
	return float64(c.Running)
}

// full reports whether the queue takes no more tasks of a priority.
func (r *Report) full(priority int, limits *Limits) bool {
	tasks, limit := 0, limits.MaxTasks
	if priority > limits.MostUrgent {
		limit -= limit / urgentShare
	}
	for i := range r.Classes {
		tasks += r.Classes[i].Tasks
	}
	return tasks >= limit
}

// spread bounds a delay and lengthens it at random, so that callers that are refused at
// once do not return at once.
func (l *Limits) spread(d time.Duration) time.Duration {
	return scale(min(max(d, l.MinRetry), l.MaxRetry), 1+retrySpread*l.RandomFactor)
}

// maxDuration bounds estimates, so that sums of them do not overflow.
const maxDuration = 30 * 24 * time.Hour

// duration returns how long an amount of work takes at a rate in millicores.
func duration(w Work, rate float64) time.Duration {
	return scale(time.Second, float64(w)/rate)
}

// scale returns d times a factor, at most maxDuration.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxDuration)))
}

// String returns the reason in logs.
func (r Reason) String() string {
	switch r {
	case ReasonRoomFree:
		return "there is free room"
	case ReasonInTime:
		return "it can be done in time"
	case ReasonWorthless:
		return "it would be done too late"
	case ReasonQueueFull:
		return "the queue is full"
	}
	return "the load is not known"
}
