package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// job is a job that the leader knows.
type job struct {
	structs.Job
	structs.Progress

	known     Instant // when the leader learnt of it, less its age at that time
	early     bool    // it was accepted before this host took the lead
	inherited bool    // a former leader may have started its tasks
	claimed   bool    // the store knows that this leader may start its tasks
	taken     bool    // its progress has been taken up
	cancelled bool    // a caller asked for it to be cancelled
	begun     bool    // a task has started
	objective Instant // it should be done by then

	first []int // number of the first task of each step in an occurrence
	per   int   // tasks of one occurrence
	tasks []task
	left  [][]int // tasks that are not done, by occurrence and step
	open  int     // tasks that are not done
	runs  int     // that occupy workers
	ended Instant // when the last run ended

	loads []*load // of the steps that serve, by occurrence and step

	stored  structs.JobState // as the store has it
	finalAt Instant
	// expiring: its rows are being removed.
	expiring bool
}

// task is one task of a job.
type task struct {
	run       *run
	last      structs.Run // highest run number that may have been used
	notBefore Instant     // it waits after a failure
	avoid     []structs.WorkerID
	lostAt    Instant // of a persistent task: when its last run ended
}

// retryPause is how long a task waits after a failed run, so that a task that
// fails at once doesn't keep a worker and the store busy.
const retryPause = 100 * time.Millisecond

func newJob(j structs.Job, now Instant) *job {
	out := &job{Job: j, known: now}
	out.State = structs.JobQueued
	for _, step := range j.Steps {
		out.first = append(out.first, out.per)
		out.per += step.Count
	}
	n := j.Occurrences()
	out.tasks = make([]task, n*out.per)
	out.left = make([][]int, n)
	for k := range n {
		for _, step := range j.Steps {
			out.left[k] = append(out.left[k], step.Count)
		}
	}
	out.open = n * out.per
	return out
}

// number returns the number of a task over all occurrences, or false when the
// job has no such task.
func (j *job) number(t structs.TaskRef) (int, bool) {
	if t.Occurrence < 0 || t.Occurrence >= len(j.left) || t.Step < 0 || t.Step >= len(j.Steps) ||
		t.Index < 0 || t.Index >= j.Steps[t.Step].Count {
		return 0, false
	}
	return t.Occurrence*j.per + j.first[t.Step] + t.Index, true
}

func (j *job) ref(occurrence, step, index int) structs.TaskRef {
	return structs.TaskRef{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}
}

func (j *job) taskAt(t structs.TaskRef) *task {
	n, ok := j.number(t)
	if !ok {
		return nil
	}
	return &j.tasks[n]
}

// load returns the estimated load of the tasks of a step.
func (j *job) load(ref structs.TaskRef) *load {
	if j.loads == nil {
		j.loads = make([]*load, len(j.left)*len(j.Steps))
	}
	at := ref.Occurrence*len(j.Steps) + ref.Step
	if j.loads[at] == nil {
		j.loads[at] = &load{}
	}
	return j.loads[at]
}

// starveAfter is how long a job may have nothing running while only tasks that
// serve keep its tasks from starting.
const starveAfter = 2 * time.Second

// starves reports whether the job has had nothing running for long.
func (j *job) starves(now Instant) bool {
	return j.runs == 0 && now-max(j.known, j.ended) > starveAfter
}

// active reports whether tasks of the job may be started.
func (j *job) active() bool { return j.taken && !j.cancelled && !j.State.Final() }

// snapshot returns the durable part. The slices and maps are copies, because
// the effect outlives later changes.
func (j *job) snapshot() structs.Progress { return cloneProgress(j.Progress) }

func cloneProgress(p structs.Progress) structs.Progress {
	p.Done = slices.Clone(p.Done)
	p.Failures = cloneMap(p.Failures)
	for task, runs := range p.Failures {
		p.Failures[task] = slices.Clone(runs)
	}
	p.Checkpoints = cloneMap(p.Checkpoints)
	return p
}

func cloneMap[V any](m map[int]V) map[int]V {
	if len(m) == 0 {
		return nil
	}
	out := make(map[int]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// restore takes in progress that a former leader stored. The event that brought
// it stays as it is.
func (j *job) restore(p structs.Progress) {
	j.Progress = cloneProgress(p)
	j.stored = p.State
	j.begun = p.State != structs.JobQueued
	for k := range j.left {
		for step := range j.Steps {
			for i := range j.Steps[step].Count {
				if n, _ := j.number(j.ref(k, step, i)); p.IsDone(n) {
					j.left[k][step]--
					j.open--
				}
			}
		}
	}
}

// longestChain returns the work of the longest chain of steps as declared.
func (j *job) longestChain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, step := range j.Steps {
		for _, a := range step.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// maxAge bounds the age that a job is given when it is read with a time of day
// of another host, which may be wrong.
const maxAge = 30 * time.Second

func (l *leaderState) jobRows(rows []Row, _ bool) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		v, ok := r.Value.(JobRow)
		if !ok {
			l.s.decide(Decision{Part: "job", Action: "job row cannot be read", Subject: r.Key, Number: uint64(r.Version)})
			continue
		}
		l.addJob(v.Job, r.Version)
	}
}

func (l *leaderState) addJob(row structs.Job, version structs.Version) {
	if l.jobs[row.ID] != nil {
		return
	}
	j := newJob(row, l.s.now)
	if j.early = version <= l.version; j.early {
		age := time.Duration(l.s.wall-row.Wall) * time.Millisecond
		j.known -= min(max(age, 0), maxAge)
	}
	l.jobs[row.ID] = j
	if l.isLoaded() {
		l.takeUp(j)
	}
}

// takeUp makes a job's tasks known to the scheduler.
func (l *leaderState) takeUp(j *job) {
	if j.taken {
		return
	}
	j.taken = true
	if p, ok := l.early[j.ID]; ok {
		j.restore(p)
	}
	j.inherited = j.Claimed > 0
	if j.State.Final() {
		j.finalAt = l.s.now
		return
	}
	if j.inherited {
		// Runs of former leaders have lower numbers.
		for i := range j.tasks {
			j.tasks[i].last = structs.Run(l.epoch-1) * runsPerEpoch
		}
	}
	policy := l.s.config.policyOf(&j.Job)
	j.objective = j.known + time.Duration(policy.Stretch*float64(j.longestChain())) + policy.Slack
	l.order = append(l.order, j)
	if j.cancelled {
		l.cancel(j)
	}
	l.schedule.request()
}

// runsPerEpoch spaces the run numbers of successive leaders for one task.
const runsPerEpoch = 1000

func (l *leaderState) cancelRows(rows []Row, _ bool) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		j := l.jobs[structs.JobID(r.Key)]
		if j == nil {
			// The row of the job has not been read yet.
			l.schedule.earlyCancels = append(l.schedule.earlyCancels, structs.JobID(r.Key))
			l.schedule.request()
			continue
		}
		j.cancelled = true
		if j.taken {
			l.cancel(j)
		}
	}
}

// cancel stops all runs of a job. Its state becomes final at once: nothing of
// it is started from now on.
func (l *leaderState) cancel(j *job) {
	j.cancelled = true
	if j.State.Final() {
		return
	}
	l.finishJob(j, structs.JobCancelled, "a caller asked for it")
}

// finishJob gives a job its final state and stops what still runs of it.
func (l *leaderState) finishJob(j *job, state structs.JobState, reason string) {
	j.State = state
	j.finalAt = l.s.now
	j.Checkpoints = nil
	l.touch(j)
	l.s.decide(Decision{Part: "job", Action: "job " + string(state), Subject: string(j.ID), Where: j.Queue, Reason: reason, Age: l.s.now - j.known, Number: uint64(l.epoch)})
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil {
			l.stop(r, "job "+string(state))
		}
	}
	l.forgetAdvice(j)
	l.order = slices.DeleteFunc(l.order, func(o *job) bool { return o == j })
}

// taskDone records that a task ended with success.
func (l *leaderState) taskDone(j *job, ref structs.TaskRef) {
	n, ok := j.number(ref)
	if !ok || j.IsDone(n) || j.State.Final() {
		return
	}
	j.SetDone(n)
	j.left[ref.Occurrence][ref.Step]--
	j.open--
	l.touch(j)
	if j.open == 0 {
		l.finishJob(j, structs.JobCompleted, "all tasks are done")
		return
	}
	l.schedule.request()
}

// taskFailed counts a failed run. A worker lists its end again to a new leader
// until it is acknowledged, but it counts once; ends of several workers come in any order.
func (l *leaderState) taskFailed(j *job, ref structs.TaskRef, id structs.Run, w *worker) {
	n, ok := j.number(ref)
	if !ok || j.IsDone(n) || j.State.Final() {
		return
	}
	t := &j.tasks[n]
	if !slices.Contains(t.avoid, w.id) {
		t.avoid = append(t.avoid, w.id)
	}
	t.notBefore = l.s.now + retryPause
	l.schedule.at(t.notBefore)
	if j.Steps[ref.Step].Persistent {
		return
	}
	if slices.Contains(j.Failures[n], id) {
		return
	}
	if j.Failures == nil {
		j.Failures = make(map[int][]structs.Run)
	}
	j.Failures[n] = append(j.Failures[n], id)
	l.touch(j)
	limit := l.s.config.policyOf(&j.Job).Attempts
	if limit > 0 && len(j.Failures[n]) >= limit {
		l.finishJob(j, structs.JobFailed, "a task failed in all its attempts")
	}
}

// keepCheckpoint records from where a task can resume.
func (l *leaderState) keepCheckpoint(j *job, ref structs.TaskRef, value string) {
	n, ok := j.number(ref)
	if !ok || value == "" || j.IsDone(n) || j.State.Final() || j.Checkpoints[n] == value {
		return
	}
	if j.Checkpoints == nil {
		j.Checkpoints = make(map[int]string)
	}
	j.Checkpoints[n] = value
	l.touch(j)
}

// begin records the first start of a job.
func (l *leaderState) begin(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	if j.State == structs.JobQueued {
		j.State = structs.JobRunning
		l.touch(j)
	}
}

// claim records in the store that this leader may start tasks of a job, and is
// needed before the first of them: a later leader then knows that all other jobs
// have no runs anywhere.
func (l *leaderState) claim(j *job) {
	if j.Claimed == l.epoch {
		return // under way
	}
	j.Claimed = l.epoch
	l.touch(j)
	l.commits.claims[j.ID] = true
}

// progressStored is called when the store has a job's progress.
func (l *leaderState) progressStored(j *job) {
	if j.stored != j.State && j.State.Final() {
		l.s.decide(Decision{Part: "job", Action: "final state stored", Subject: string(j.ID), Reason: string(j.State), Age: l.s.now - j.finalAt})
	}
	j.stored = j.State
}
