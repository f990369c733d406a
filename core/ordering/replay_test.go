package ordering

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// replayedStep is a step of a job of a replayed load. Its tasks take one core each.
type replayedStep struct {
	tasks    int
	declared float64 // run time of a task, in seconds
	actual   float64
}

// replayedJob is a job of a replayed load. Its steps run one after another.
type replayedJob struct {
	at    float64 // time of arrival, in seconds
	steps []replayedStep
	value float64

	step, waiting, running int
	ended                  float64 // 0: not yet
	load                   *replayedLoad
}

// replayedLoad is what all jobs of a replay have in common.
type replayedLoad struct {
	waitingWork float64 // in core-seconds, by declared run times
}

// criticalPath returns the run time of the steps from one on, by a run time of each.
func (j *replayedJob) criticalPath(from int, runTime func(replayedStep) float64) float64 {
	sum := 0.0
	for _, s := range j.steps[from:] {
		sum += runTime(s)
	}
	return sum
}

func declared(s replayedStep) float64 { return s.declared }
func actual(s replayedStep) float64   { return s.actual }

// replayedObjective returns the objective of a job with a critical path, both in seconds.
func replayedObjective(criticalPath float64) float64 { return 2*criticalPath + 1 }

func (j *replayedJob) work(runTime func(replayedStep) float64) float64 {
	sum := 0.0
	for _, s := range j.steps {
		sum += float64(s.tasks) * runTime(s)
	}
	return sum
}

// describe returns the job as the order sees it: by declared run times.
func (j *replayedJob) describe(now float64) Job {
	work := float64(j.waiting) * j.steps[j.step].declared
	for _, s := range j.steps[j.step+1:] {
		work += float64(s.tasks) * s.declared
	}
	return Job{
		Age: seconds(now - j.at), Objective: seconds(replayedObjective(j.criticalPath(0, declared))),
		CriticalPath: seconds(j.criticalPath(j.step, declared)), Work: work, Value: j.value,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// earned returns what the job is worth to its caller at its end: all within the objective
// of its actual work, a part up to WorthlessFactor times that.
func (j *replayedJob) earned() float64 {
	const lateShare = 0.15
	took, objective := j.ended-j.at, replayedObjective(j.criticalPath(0, actual))
	switch {
	case took <= objective:
		return j.value
	case took <= WorthlessFactor*objective:
		return lateShare * j.value
	}
	return 0
}

// wideJobs returns a load of jobs with many tasks for some seconds, in which declared run
// times are wrong by half and more, and arrivals swing.
func wideJobs(seed uint64, perSecond, duration float64) []*replayedJob {
	r := rand.New(rand.NewPCG(seed, 1))
	var jobs []*replayedJob
	var mean Mean
	for at := 0.0; at < duration; at += r.ExpFloat64() / (perSecond * (1 + 0.3*math.Sin(at/2))) {
		j := &replayedJob{at: at}
		for range 1 + r.IntN(3) {
			actual := 2.5 * math.Exp(0.5*r.NormFloat64())
			j.steps = append(j.steps, replayedStep{
				tasks: 1 + int(18*math.Exp(0.6*r.NormFloat64())), actual: actual, declared: actual * math.Exp(0.5*r.NormFloat64()),
			})
		}
		mean.Observe(j.work(declared))
		jobs = append(jobs, j)
	}
	for _, j := range jobs {
		j.value = Value(j.work(declared), mean.Value())
		j.waiting = j.steps[0].tasks
	}
	return jobs
}

// taskEnds is a heap of the ends of running tasks.
type taskEnds []taskEnd

type taskEnd struct {
	at  float64
	job *replayedJob
}

func (h taskEnds) Len() int           { return len(h) }
func (h taskEnds) Less(i, k int) bool { return h[i].at < h[k].at }
func (h taskEnds) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *taskEnds) Push(x any)        { *h = append(*h, x.(taskEnd)) }
func (h *taskEnds) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// replay runs a load on some cores in an order, with a pass every few milliseconds, and
// returns the share of the value that callers get.
func replay(jobs []*replayedJob, cores int, order func(a, b *replayedJob, now float64) int) float64 {
	const pass = 0.02
	var waiting []*replayedJob
	var ends taskEnds
	var load replayedLoad
	arrived, left := 0, len(jobs)
	for now := 0.0; left > 0; now += pass {
		for ; arrived < len(jobs) && jobs[arrived].at <= now; arrived++ {
			jobs[arrived].load = &load
			waiting = append(waiting, jobs[arrived])
		}
		for len(ends) > 0 && ends[0].at <= now {
			j := heap.Pop(&ends).(taskEnd).job
			cores++
			if j.running--; j.running > 0 || j.waiting > 0 {
				continue
			}
			if j.step++; j.step == len(j.steps) {
				j.ended = now
				left--
				continue
			}
			j.waiting = j.steps[j.step].tasks
			waiting = append(waiting, j)
		}
		if cores == 0 || len(waiting) == 0 {
			continue
		}
		load.waitingWork = 0
		for _, j := range waiting {
			load.waitingWork += j.describe(now).Work
		}
		slices.SortStableFunc(waiting, func(a, b *replayedJob) int { return order(a, b, now) })
		for _, j := range waiting {
			for ; j.waiting > 0 && cores > 0; cores-- {
				j.waiting--
				j.running++
				heap.Push(&ends, taskEnd{now + j.steps[j.step].actual, j})
			}
		}
		waiting = slices.DeleteFunc(waiting, func(j *replayedJob) bool { return j.waiting == 0 })
	}
	return shareOf(jobs)
}

func shareOf(jobs []*replayedJob) float64 {
	earned, owed := 0.0, 0.0
	for _, j := range jobs {
		earned += j.earned()
		owed += j.value
	}
	return earned / owed
}

// Orders that were weighed.
func byArrival(a, b *replayedJob, _ float64) int { return cmp.Compare(a.at, b.at) }

// byDeadline is the former order: jobs before their declared deadline, the earliest first,
// then late ones.
func byDeadline(a, b *replayedJob, now float64) int {
	deadline := func(j *replayedJob) float64 { return j.at + replayedObjective(j.criticalPath(0, declared)) }
	late := func(j *replayedJob) int {
		switch age := now - j.at; {
		case now <= deadline(j):
			return 1
		case age <= WorthlessFactor*(deadline(j)-j.at):
			return 2
		}
		return 3
	}
	return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(deadline(a), deadline(b)))
}

// byKey orders by a class and then by a key, the smallest first.
func byKey(key func(Job) float64) func(a, b *replayedJob, now float64) int {
	return func(a, b *replayedJob, now float64) int {
		x, y := a.describe(now), b.describe(now)
		return cmp.Or(cmp.Compare(RankOf(x, time.Second).class, RankOf(y, time.Second).class), cmp.Compare(key(x), key(y)))
	}
}

func valueLeft(j Job) float64    { return -j.Value / max(j.Work, minWork) }
func shortestPath(j Job) float64 { return j.CriticalPath.Seconds() }
func leastSlack(j Job) float64   { return (j.Objective - j.Age - j.CriticalPath).Seconds() }

func byUrgency(a, b *replayedJob, now float64) int {
	lookahead := Lookahead(usualPath, seconds(a.load.waitingWork/replayedCores))
	return RankOf(a.describe(now), lookahead).Compare(RankOf(b.describe(now), lookahead))
}

const (
	replayedCores  = 1000
	usualPath      = 5 * time.Second // of wideJobs
	replaySeconds  = 30
	jobsPerSecond  = 9.0 // of wideJobs that take all replayedCores
	replayedSeeds  = 3
	overloadFactor = 1.35
)

// replayMean returns the mean share of the value over some seeds of wideJobs, at a load
// relative to the cores.
func replayMean(load float64, order func(a, b *replayedJob, now float64) int) float64 {
	sum := 0.0
	for seed := range uint64(replayedSeeds) {
		sum += replay(wideJobs(seed, load*jobsPerSecond, replaySeconds), replayedCores, order)
	}
	return sum / replayedSeeds
}

// upperBound returns a share of the value that no order exceeds: what the cores can do until
// the last objective, taken by the jobs with the most value for their work.
func upperBound(load float64) float64 {
	sum := 0.0
	for seed := range uint64(replayedSeeds) {
		jobs := wideJobs(seed, load*jobsPerSecond, replaySeconds)
		last, owed := 0.0, 0.0
		for _, j := range jobs {
			last, owed = max(last, j.at+replayedObjective(j.criticalPath(0, actual))), owed+j.value
		}
		slices.SortFunc(jobs, func(a, b *replayedJob) int {
			return cmp.Compare(b.value/b.work(actual), a.value/a.work(actual))
		})
		left, earned := last*replayedCores, 0.0
		for _, j := range jobs {
			part := min(left/j.work(actual), 1)
			left -= part * j.work(actual)
			earned += part * j.value
		}
		sum += earned / owed
	}
	return sum / replayedSeeds
}

// TestOverloadOfWideJobs guards against an order in which, under more work than the cores
// can do in time, most jobs end shortly after their objectives.
func TestOverloadOfWideJobs(t *testing.T) {
	const leastGain = 0.05 // of the value that callers are owed
	got := replayMean(overloadFactor, byUrgency)
	former, naive := replayMean(overloadFactor, byDeadline), replayMean(overloadFactor, byArrival)
	t.Logf("apparent urgency %.3f, deadlines %.3f, arrival %.3f, value left %.3f, shortest critical path %.3f, least slack %.3f, bound %.3f",
		got, former, naive, replayMean(overloadFactor, byKey(valueLeft)), replayMean(overloadFactor, byKey(shortestPath)),
		replayMean(overloadFactor, byKey(leastSlack)), upperBound(overloadFactor))
	if got < former+leastGain || got < naive+leastGain {
		t.Errorf("callers get %.3f of the value, deadlines give %.3f and arrival %.3f", got, former, naive)
	}
}

// TestLoadWithinRoom guards against an order that pays for its gain under overload while
// almost all jobs can be done in time.
func TestLoadWithinRoom(t *testing.T) {
	const load, mostLoss = 0.85, 0.01
	got, former := replayMean(load, byUrgency), replayMean(load, byDeadline)
	t.Logf("apparent urgency %.3f, deadlines %.3f, least slack %.3f", got, former, replayMean(load, byKey(leastSlack)))
	if got < former-mostLoss {
		t.Errorf("callers get %.3f of the value, deadlines give %.3f", got, former)
	}
}

// TestLargeJobsAreServed guards against an order that serves callers of large jobs less
// than half as often as the others.
func TestLargeJobsAreServed(t *testing.T) {
	jobs := wideJobs(1, overloadFactor*jobsPerSecond, replaySeconds)
	all := replay(jobs, replayedCores, byUrgency)
	slices.SortFunc(jobs, func(a, b *replayedJob) int { return cmp.Compare(b.work(actual), a.work(actual)) })
	tenth := len(jobs) / 10
	largest, next := shareOf(jobs[:tenth]), shareOf(jobs[tenth:3*tenth])
	if 2*largest < all || 2*next < all {
		t.Errorf("the largest tenth gets %.3f of its value, the fifth below it %.3f, all %.3f", largest, next, all)
	}
}
