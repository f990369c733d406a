package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/ordering"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// job is the leader's state of one job.
type job struct {
	structs.Job
	structs.Progress

	submittedAt    Instant // time of acceptance, estimated when the job row was read
	beforeTakeover bool    // it was accepted before this host took over
	inherited      bool    // a former leader may have started its tasks
	claimStored    bool    // the claim by this leader is stored, so that its tasks may start
	admitted       bool    // its progress has been restored and it can be scheduled
	admittedAt     Instant
	rowVersion     structs.Version // of its job row
	unstorable     bool            // the store rejects its progress, even without checkpoints
	dirtyGroups    map[int]bool    // further rows of its progress that have to be written
	storedGroups   map[int]bool    // further rows of its progress that exist
	moveInFlight   bool            // the job row is being given to another shard
	writtenParts   map[string]bool // keys of the rows of given parts that this leader has written
	partKeys       []string        // keys of the rows of parts that this shard was given
	returns        int             // recent parts that were given back to shards that had had their tasks
	returnedAt     Instant         // when the last of them was given
	cancelled      bool            // a caller requested its cancellation
	started        bool            // a run of one of its tasks has been confirmed
	runTimes       []ordering.Mean // of the runs of each step that have ended, in seconds; nil: none has

	stepOffsets        []int // number of the first task of each step in an occurrence
	tasksPerOccurrence int   // number of tasks in one occurrence
	tasks              []task
	remainingByStep    [][]int // number of tasks that are not done, by occurrence and step
	remainingTasks     int     // number of tasks that are not done
	waitingByStep      [][]int // number of tasks that are not done and have no run, by occurrence and step
	waitingTasks       int     // number of tasks that are not done and have no run
	waitingSince       Instant // since when one of its tasks has waited for a run
	activeRuns         int     // number of runs that occupy workers
	lastRunEndedAt     Instant // when the last run ended
	roomKeptUntil      Instant // until when room is kept for it on a worker
	preemptedAt        Instant // when one of its runs last gave way to more urgent work; 0: never
	preemptionRetryAt  Instant // no search for runs that give way to it before this time

	loads []*colocation.Load // of serving steps, by occurrence and step

	storedState structs.JobState // last state written to the store
	finalAt     Instant
	expiring    bool // its rows are being removed
}

// task is the leader's state of one task of a job.
type task struct {
	run          *run
	lastRun      structs.Run // highest run number that may have been used
	notBefore    Instant     // earliest start after a failure
	avoidWorkers []structs.WorkerID
	runRemovedAt Instant // when its last run ended
	elsewhere    bool    // another shard schedules it
	from         []int   // shards that scheduled it before
	shardChanges int     // how often it has changed its shard, as far as this leader knows
}

// retryDelay is how long a task waits after a failed run, so that a task that
// fails at once does not keep a worker and the store busy.
const retryDelay = 100 * time.Millisecond

func newJob(j structs.Job, now Instant) *job {
	out := &job{Job: j, submittedAt: now}
	out.State = structs.JobQueued
	for _, step := range j.Steps {
		out.stepOffsets = append(out.stepOffsets, out.tasksPerOccurrence)
		out.tasksPerOccurrence += step.Count
	}
	n := j.Occurrences()
	out.tasks = make([]task, n*out.tasksPerOccurrence)
	out.remainingByStep = make([][]int, n)
	out.waitingByStep = make([][]int, n)
	for k := range n {
		for _, step := range j.Steps {
			out.remainingByStep[k] = append(out.remainingByStep[k], step.Count)
			out.waitingByStep[k] = append(out.waitingByStep[k], step.Count)
		}
	}
	out.remainingTasks = n * out.tasksPerOccurrence
	out.waitingTasks = out.remainingTasks
	return out
}

// addWaiting changes the number of tasks of a step that wait for a run.
func (j *job) addWaiting(ref structs.TaskRef, change int) {
	j.waitingByStep[ref.Occurrence][ref.Step] += change
	j.waitingTasks += change
}

// setRun sets the current run of a task; nil: it has none.
func (j *job) setRun(ref structs.TaskRef, r *run, now Instant) {
	n, _ := j.taskNumber(ref)
	t := &j.tasks[n]
	if !j.IsDone(n) && !t.elsewhere {
		switch {
		case t.run == nil && r != nil:
			j.addWaiting(ref, -1)
		case t.run != nil && r == nil:
			if j.waitingTasks == 0 {
				j.waitingSince = now
			}
			j.addWaiting(ref, 1)
		}
	}
	t.run = r
}

// taskNumber returns the number of a task over all occurrences, or false if the
// job has no such task.
func (j *job) taskNumber(t structs.TaskRef) (int, bool) {
	if t.Occurrence < 0 || t.Occurrence >= len(j.remainingByStep) || t.Step < 0 || t.Step >= len(j.Steps) ||
		t.Index < 0 || t.Index >= j.Steps[t.Step].Count {
		return 0, false
	}
	return t.Occurrence*j.tasksPerOccurrence + j.stepOffsets[t.Step] + t.Index, true
}

func (j *job) taskRef(occurrence, step, index int) structs.TaskRef {
	return structs.TaskRef{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}
}

func (j *job) taskAt(t structs.TaskRef) *task {
	n, ok := j.taskNumber(t)
	if !ok {
		return nil
	}
	return &j.tasks[n]
}

// stepLoad returns the estimated load of the tasks of a step.
func (j *job) stepLoad(ref structs.TaskRef) *colocation.Load {
	if j.loads == nil {
		j.loads = make([]*colocation.Load, len(j.remainingByStep)*len(j.Steps))
	}
	at := ref.Occurrence*len(j.Steps) + ref.Step
	if j.loads[at] == nil {
		j.loads[at] = &colocation.Load{}
	}
	return j.loads[at]
}

// starvationDelay is how long a job may have no runs before its best-effort tasks
// may start although they may disturb serving tasks.
const starvationDelay = 2 * time.Second

// starved reports whether the job has had no runs for longer than starvationDelay.
func (j *job) starved(now Instant) bool {
	return j.activeRuns == 0 && now-max(j.submittedAt, j.lastRunEndedAt) > starvationDelay
}

// schedulable reports whether tasks of the job may be started.
func (j *job) schedulable() bool {
	return j.admitted && !j.cancelled && !j.State.Final() && !j.Moving && !j.unstorable
}

func cloneProgress(p structs.Progress) structs.Progress {
	p.Done = slices.Clone(p.Done)
	p.Failures = cloneMap(p.Failures)
	for task, runs := range p.Failures {
		p.Failures[task] = slices.Clone(runs)
	}
	p.Checkpoints = cloneMap(p.Checkpoints)
	p.Given = slices.Clone(p.Given)
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

// restore sets the progress that a former leader stored. It copies p, since
// events are not modified.
func (j *job) restore(p structs.Progress) {
	j.Progress = cloneProgress(p)
	for _, part := range p.Given {
		j.assignPart(part, true)
	}
	j.storedState = p.State
	j.started = p.State != structs.JobQueued
	for k := range j.remainingByStep {
		for step := range j.Steps {
			for i := range j.Steps[step].Count {
				ref := j.taskRef(k, step, i)
				if n, _ := j.taskNumber(ref); p.IsDone(n) {
					j.remainingByStep[k][step]--
					j.remainingTasks--
					j.addWaiting(ref, -1)
				}
			}
		}
	}
}

// maxJobAge bounds the age of a job computed from the time of day at the host that
// accepted it, since that clock may be wrong.
const maxJobAge = 30 * time.Second

func (l *leaderState) applyJobRows(rows []Row, _ bool) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		v, ok := r.Value.(JobRow)
		if !ok {
			l.logUnreadable(TableJobs, r, "job", "job row cannot be read")
			continue
		}
		if reason := invalidReason(&v.Job); reason != "" || v.Part == nil && v.ID != structs.JobID(r.Key) {
			l.logUnreadable(TableJobs, r, "job", "job row is invalid")
			continue
		}
		if r.Partition != jobPartition(v.ID) {
			continue // a row of another program
		}
		if v.Part != nil {
			if ShardID(v.Shard) == l.shard && v.Part.Key == r.Key && isPartKey(r.Key, v.ID) {
				l.addPart(v.Job)
			}
			continue
		}
		l.addJob(v.Job, r.Version)
	}
}

func (l *leaderState) addJob(row structs.Job, version structs.Version) {
	if j := l.jobs[row.ID]; j != nil {
		if j.Part != nil || row.Moves < j.Moves || row.Moves == j.Moves && ShardID(row.Shard) == l.shard {
			return
		}
		// Another shard has the job now, or has had it since. The mark of the move is stored.
		l.forgetMoved(j)
	}
	if ShardID(row.Shard) != l.shard {
		return
	}
	j := newJob(row, l.state.now)
	j.rowVersion, j.cancelled = version, l.cancelled[row.ID]
	if j.beforeTakeover = version <= l.leaderVersion; j.beforeTakeover || row.Moves > 0 {
		age := time.Duration(l.state.wall-row.SubmittedMS) * time.Millisecond
		j.submittedAt -= min(max(age, 0), maxJobAge)
	}
	l.jobs[row.ID] = j
	if l.isLoaded() {
		l.admit(j)
	}
}

// admit restores a job's progress and makes its tasks
// available to scheduling passes.
func (l *leaderState) admit(j *job) {
	if j.admitted {
		return
	}
	j.admitted, j.admittedAt, j.waitingSince = true, l.state.now, l.state.now
	l.restoreProgress(j)
	j.inherited = j.ClaimEpoch > 0
	if j.State.Final() {
		j.finalAt = l.state.now
		return
	}
	if j.inherited {
		// Former leaders have used lower run numbers only: those of this shard began
		// with what the former shard of the task had used.
		for i := range j.tasks {
			j.tasks[i].lastRun += structs.Run(l.epoch-1) * runsPerEpoch
		}
	}
	l.order.observeJob(j)
	l.openJobs = append(l.openJobs, j)
	l.writeParts(j, j.Given)
	if j.Moving {
		l.continueMove(j)
		return
	}
	if j.cancelled {
		l.cancel(j)
	}
	l.schedule.requestPass()
}

// restoreProgress restores what is stored of the progress of a job: in this shard, or with the
// job when it moved here.
func (l *leaderState) restoreProgress(j *job) {
	p, stored := l.loadedProgress[j.ID]
	switch {
	case stored && p.Move == j.Moves:
		j.restore(p)
		j.markGroupsOfFirstRow()
	case j.Moved != nil:
		j.restore(j.Moved.Progress)
		j.storedState = "" // in this shard
		j.markGroupsOfFirstRow()
	}
	j.Move = j.Moves
	if j.Moved != nil {
		for i := range j.tasks {
			j.tasks[i].lastRun = max(j.tasks[i].lastRun, j.Moved.FirstRun-1)
		}
	}
	groups := l.loadedGroups[j.ID]
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		j.restoreGroup(key, groups[key])
	}
	delete(l.loadedGroups, j.ID)
}

// runsPerEpoch is the size of the range of run numbers of each leader for one task,
// so that successive leaders use different numbers.
const runsPerEpoch = 1000

func (l *leaderState) applyCancelRows(rows []Row, _ bool) {
	for _, r := range rows {
		id := structs.JobID(r.Key)
		if r.Removed {
			delete(l.cancelled, id)
			continue
		}
		l.cancelled[id] = true // the job row may be read later
		j := l.jobs[id]
		if j == nil {
			continue
		}
		j.cancelled = true
		if j.admitted && !j.Moving {
			l.cancel(j)
		}
	}
}

// cancel stops all runs of a job. Its state becomes final at once, so that no more
// of its tasks are started.
func (l *leaderState) cancel(j *job) {
	j.cancelled = true
	if j.State.Final() {
		return
	}
	l.finishJob(j, structs.JobCancelled, "cancelled by a caller")
}

// finishJob sets the final state of a job and stops its remaining runs.
func (l *leaderState) finishJob(j *job, state structs.JobState, reason string) {
	j.State = state
	j.finalAt = l.state.now
	j.Checkpoints, j.dirtyGroups = nil, nil
	l.markDirty(j)
	l.state.logDecision(Decision{Part: "job", Action: "job " + string(state), Subject: string(j.ID), Where: j.Queue, Reason: reason, Age: l.state.now - j.submittedAt, Number: uint64(l.epoch)})
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil {
			l.stopRun(r, "job "+string(state))
		}
	}
	l.dropAdvice(j)
	l.openJobs = slices.DeleteFunc(l.openJobs, func(o *job) bool { return o == j })
}

// taskDone records that a task ended with success.
func (l *leaderState) taskDone(j *job, ref structs.TaskRef) {
	n, ok := j.taskNumber(ref)
	if !ok || j.IsDone(n) || j.State.Final() {
		return
	}
	if j.tasks[n].run == nil {
		j.addWaiting(ref, -1)
	}
	j.SetDone(n)
	j.remainingByStep[ref.Occurrence][ref.Step]--
	j.remainingTasks--
	l.meterWork(j, ref.Step)
	l.markDirty(j)
	if j.remainingTasks == 0 {
		l.finishJob(j, structs.JobCompleted, "all tasks are done")
		return
	}
	l.schedule.requestPass()
}

// taskFailed counts a failed run once, although a worker lists its end again to a
// new leader until it is acknowledged. Ends from several workers arrive in any
// order.
func (l *leaderState) taskFailed(j *job, ref structs.TaskRef, id structs.Run, w *worker) {
	n, ok := j.taskNumber(ref)
	if !ok || j.IsDone(n) || j.State.Final() {
		return
	}
	t := &j.tasks[n]
	if !slices.Contains(t.avoidWorkers, w.id) {
		t.avoidWorkers = append(t.avoidWorkers, w.id)
	}
	t.notBefore = l.state.now + retryDelay
	l.schedule.requestPassAt(t.notBefore)
	if j.Steps[ref.Step].Persistent {
		w.keepRoom(keptRoom{job: j, need: reservation(&j.Steps[ref.Step]), forRestart: true}, restartHoldTime)
		return
	}
	limit := l.state.config.policyOf(&j.Job).Attempts
	if limit <= 0 || slices.Contains(j.Failures[n], id) {
		return
	}
	if j.Failures == nil {
		j.Failures = make(map[int][]structs.Run)
	}
	j.Failures[n] = append(j.Failures[n], id)
	l.markTaskDirty(j, n)
	if len(j.Failures[n]) >= limit {
		l.finishJob(j, structs.JobFailed, "a task failed in all its attempts")
	}
}

// recordCheckpoint records the checkpoint from which a task can resume.
func (l *leaderState) recordCheckpoint(j *job, ref structs.TaskRef, value string) {
	n, ok := j.taskNumber(ref)
	if !ok || value == "" || j.IsDone(n) || j.State.Final() || j.Checkpoints[n] == value {
		return
	}
	if textBytes(value) > maxCheckpointBytes {
		l.logOnce(TableProgress, string(j.ID), Decision{Part: "task", Action: "checkpoint not kept", Subject: taskName(ref), Reason: "it is too long", Number: uint64(len(value))})
		return
	}
	if j.Checkpoints == nil {
		j.Checkpoints = make(map[int]string)
	}
	j.Checkpoints[n] = value
	l.markTaskDirty(j, n)
}

// markStarted records that the first run of a job has been confirmed.
func (l *leaderState) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if j.State == structs.JobQueued {
		j.State = structs.JobRunning
		l.markDirty(j)
	}
}

// claim records in the store that this leader may start tasks of a job. It must be
// stored before the first start, so that a later leader knows that jobs without a
// claim have no runs anywhere.
func (l *leaderState) claim(j *job) {
	if j.ClaimEpoch == l.epoch {
		return // already claimed
	}
	j.ClaimEpoch = l.epoch
	l.markDirty(j)
	l.commits.newClaims[j.ID] = true
}

// progressStored is called when the progress of a job has been stored. The job may have
// changed since that commit was sent.
func (l *leaderState) progressStored(j *job, stored structs.Progress) {
	if stored.Moving {
		l.continueMove(j)
		return
	}
	l.writeParts(j, stored.Given)
	if j.storedState != stored.State && stored.State.Final() {
		l.state.logDecision(Decision{Part: "job", Action: "final state stored", Subject: string(j.ID), Reason: string(stored.State), Age: l.state.now - j.finalAt})
	}
	j.storedState = stored.State
}
