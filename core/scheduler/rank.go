package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/ordering"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// jobOrder holds what the order of waiting jobs depends on besides the jobs.
type jobOrder struct {
	works     map[string]*ordering.Mean // work of the admitted jobs, in core-seconds, by queue
	paths     ordering.Mean             // critical paths of the admitted finite jobs, in seconds
	ranked    []rankedJob               // by the last waitingJobs, which reuses it
	lookahead time.Duration             // of their ranks
	ends      []time.Duration           // reused by expectedPath
}

// rankedJob is a waiting job with its rank in one pass.
type rankedJob struct {
	job       *job
	described ordering.Job
	rank      ordering.Rank
}

// observeJob records the work and the critical path of a job that is admitted.
func (o *jobOrder) observeJob(j *job) {
	if j.Persistent() {
		return
	}
	if o.works == nil {
		o.works = make(map[string]*ordering.Mean)
	}
	mean := o.works[j.Queue]
	if mean == nil {
		mean = &ordering.Mean{}
		o.works[j.Queue] = mean
	}
	mean.Observe(j.expectedWork())
	o.paths.Observe(o.criticalPath(j).Seconds())
}

// meanWork returns the mean work of the jobs of a queue, in core-seconds.
func (o *jobOrder) meanWork(queue string) float64 {
	if mean := o.works[queue]; mean != nil {
		return mean.Value()
	}
	return 0
}

// usualCriticalPath returns the mean of the critical paths of the jobs.
func (o *jobOrder) usualCriticalPath() time.Duration {
	return time.Duration(o.paths.Value() * float64(time.Second))
}

// waitingJobs returns the jobs with tasks that wait for a run, in the order in which they
// get room.
func (l *leaderState) waitingJobs(now Instant) []*job {
	ranked := l.describeWaiting(now)
	l.order.ranked = ranked
	work := 0.0
	for i := range ranked {
		if !ranked[i].described.Persistent {
			work += ranked[i].described.Work
		}
	}
	l.order.lookahead = ordering.Lookahead(l.order.usualCriticalPath(), l.timeForWork(work))
	for i := range ranked {
		ranked[i].rank = ordering.RankOf(ranked[i].described, l.order.lookahead)
	}
	l.promoteStarving(ranked, now)
	slices.SortFunc(ranked, func(a, b rankedJob) int {
		if c := a.rank.Compare(b.rank); c != 0 {
			return c
		}
		return strings.Compare(string(a.job.ID), string(b.job.ID))
	})
	jobs := make([]*job, len(ranked))
	for i, r := range ranked {
		jobs[i] = r.job
	}
	return jobs
}

// describeWaiting returns the jobs with tasks that wait for a run, without their ranks.
func (l *leaderState) describeWaiting(now Instant) []rankedJob {
	ranked := l.order.ranked[:0]
	for _, j := range l.openJobs {
		if j.waitingTasks > 0 && j.schedulable() {
			ranked = append(ranked, rankedJob{job: j, described: l.describeForOrder(j, now)})
		}
	}
	return ranked
}

// promoteStarving promotes, of each priority, the job that has starved longest of those that
// a worker could run.
func (l *leaderState) promoteStarving(ranked []rankedJob, now Instant) {
	longest := make(map[int]*rankedJob)
	for i := range ranked {
		r := &ranked[i]
		if r.job.activeRuns > 0 || !ordering.Starves(r.described, r.idle(now)) {
			continue
		}
		if other := longest[r.described.Priority]; (other == nil || r.idle(now) > other.idle(now)) && l.couldRun(r.job) {
			longest[r.described.Priority] = r
		}
	}
	for _, r := range longest {
		r.rank = r.rank.Promote()
	}
}

// couldRun reports whether a worker could run a waiting task of a job if nothing else ran there.
func (l *leaderState) couldRun(j *job) bool {
	for occurrence, steps := range j.waitingByStep {
		for step, waiting := range steps {
			if waiting == 0 || !j.stepReady(occurrence, step) {
				continue
			}
			if l.newStepFilter(j, stepKey{j.ID, occurrence, step}).runsOnAny(func(*worker) bool { return true }) {
				return true
			}
		}
	}
	return false
}

// timeForWork returns how long some work, in core-seconds, takes at the present rate of
// the shard; 0 if the rate is not known.
func (l *leaderState) timeForWork(work float64) time.Duration {
	rate := 0.0
	for _, class := range slices.SortedFunc(maps.Keys(l.workDone), classKey.compare) { // the sum depends on the order
		rate += l.workDone[class].Rate(l.state.now) / structs.MilliCoresPerCore
	}
	if rate <= 0 {
		return 0
	}
	return min(time.Duration(work/rate*float64(time.Second)), maxObjective)
}

// idle returns how long a job without runs has had none although it was due.
func (r *rankedJob) idle(now Instant) time.Duration { return min(r.job.idle(now), r.described.Age) }

// idle returns how long a job without runs has had none.
func (j *job) idle(now Instant) time.Duration { return now - max(j.submittedAt, j.lastRunEndedAt) }

// describeForOrder returns what the order depends on of a waiting job.
func (l *leaderState) describeForOrder(j *job, now Instant) ordering.Job {
	policy := l.state.config.policyOf(&j.Job)
	occurrence := j.firstWaitingOccurrence()
	age := now - j.submittedAt
	if j.Repeat != nil {
		age = time.Duration(-l.untilDueMS(j, occurrence)) * time.Millisecond
	}
	return ordering.Job{
		Priority: policy.Priority, Persistent: j.Persistent(), Age: age, Objective: objective(policy, l.order.criticalPath(j)),
		CriticalPath: l.order.criticalPathLeft(j, occurrence), Work: j.expectedWaitingWork(occurrence),
		Value: ordering.Value(j.expectedWork(), l.order.meanWork(j.Queue)),
	}
}

// isOnTime reports whether a waiting job has not missed its objective.
func (l *leaderState) isOnTime(j *job) bool {
	d := l.describeForOrder(j, l.state.now)
	return d.Age <= d.Objective
}

// firstWaitingOccurrence returns the first occurrence with tasks that wait for a run.
func (j *job) firstWaitingOccurrence() int {
	for occurrence, steps := range j.waitingByStep {
		if slices.ContainsFunc(steps, func(waiting int) bool { return waiting > 0 }) {
			return occurrence
		}
	}
	return 0
}

// maxObjective bounds the objective of a job, so that an estimate that is far too long does
// not overflow it.
const maxObjective = 30 * 24 * time.Hour

// objective returns the time from the acceptance of a job to that by which it should be
// done, by the run time of its critical path.
func objective(policy *structs.Policy, path time.Duration) time.Duration {
	return min(time.Duration(policy.Stretch*float64(min(path, maxObjective))), maxObjective) + policy.Slack
}

// criticalPath returns the expected run time of the longest chain of dependent steps.
func (o *jobOrder) criticalPath(j *job) time.Duration {
	return o.expectedPath(j, func(int) bool { return true })
}

// criticalPathLeft returns the expected run time of the longest chain of the steps of an occurrence
// that have tasks that wait.
func (o *jobOrder) criticalPathLeft(j *job, occurrence int) time.Duration {
	waiting := j.waitingByStep[occurrence]
	return o.expectedPath(j, func(step int) bool { return waiting[step] > 0 })
}

// expectedPath returns the expected run time of the longest chain of those steps that
// a condition holds for.
func (o *jobOrder) expectedPath(j *job, counts func(step int) bool) time.Duration {
	o.ends = slices.Grow(o.ends[:0], len(j.Steps))[:len(j.Steps)]
	return longestPath(j.Steps, o.ends, func(step int) time.Duration {
		if !counts(step) {
			return 0
		}
		return j.expectedRunTime(step)
	})
}

// declaredCriticalPath returns the declared run time of the longest chain of dependent steps.
func declaredCriticalPath(steps []structs.Step) time.Duration {
	return longestPath(steps, make([]time.Duration, len(steps)), func(step int) time.Duration { return steps[step].Estimate })
}

// longestPath returns the run time of the longest chain of dependent steps. It uses ends,
// which has an element for each step.
func longestPath(steps []structs.Step, ends []time.Duration, runTime func(step int) time.Duration) time.Duration {
	var longest time.Duration
	for i := range steps {
		ends[i] = 0
		for _, a := range steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += runTime(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// expectedRunTime returns the run time to expect of a task of a step: the mean of the runs
// that have ended, or the declared one before the first. Tasks of a step are alike, while
// declared run times are often wrong by a factor of two.
func (j *job) expectedRunTime(step int) time.Duration {
	if j.runTimes != nil && j.runTimes[step].Value() > 0 {
		return time.Duration(j.runTimes[step].Value() * float64(time.Second))
	}
	return j.Steps[step].Estimate
}

// observeRunTime records how long a run of a finite task took that ended with success.
func (j *job) observeRunTime(step int, took time.Duration) {
	if j.runTimes == nil {
		j.runTimes = make([]ordering.Mean, len(j.Steps))
	}
	j.runTimes[step].Observe(took.Seconds())
}

// expectedWork returns the expected work of one occurrence of a job, in core-seconds.
func (j *job) expectedWork() float64 {
	var work float64
	for i := range j.Steps {
		work += j.expectedStepWork(i, j.Steps[i].Count)
	}
	return work
}

// expectedWaitingWork returns the expected work of the tasks of an occurrence that wait.
func (j *job) expectedWaitingWork(occurrence int) float64 {
	var work float64
	for i, waiting := range j.waitingByStep[occurrence] {
		work += j.expectedStepWork(i, waiting)
	}
	return work
}

// expectedStepWork returns the expected work of some tasks of a step, in core-seconds.
func (j *job) expectedStepWork(step, tasks int) float64 {
	return float64(tasks) * j.Steps[step].Request.Cores() * j.expectedRunTime(step).Seconds()
}
