package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// labelShards gives all workers of a shard the labels of the shard, and those of its first rack
// the labels of the rack, too.
func (sim *simulation) labelShards(ofShard func(ShardID) []string, ofFirstRack string) {
	plan := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	for _, f := range sim.workers {
		shard := plan.Racks[f.rack]
		f.labels = ofShard(shard)
		if f.rack == fmt.Sprintf("r%d", shard) {
			f.labels = append(f.labels, ofFirstRack)
		}
		f.writeEntry(false)
	}
	sim.advance(time.Second)
}

// chainJob returns a job of steps that follow each other and require one label each.
func chainJob(work time.Duration, tasks int, labels ...string) structs.Job {
	job := singleStepJob(tasks, work, 1000)
	job.Steps = nil
	for i, label := range labels {
		step := singleStepJob(tasks, work, 1000).Steps[0]
		step.Label = label
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// loseWorkers ends the workers of a shard with a label for good.
func (sim *simulation) loseWorkers(shard ShardID, label string) {
	plan := sim.store.get(TableShards, KeyPlan).(ShardPlanRow)
	for _, f := range sim.workers {
		if plan.Racks[f.rack] == shard && slices.Contains(f.labels, label) {
			f.replaced = true
			f.crash()
			sim.store.set(TableWorkers, string(f.id), nil)
		}
	}
}

// stepRuns reports whether a task of a step runs.
func (sim *simulation) stepRuns(id string, step int) bool {
	return sim.workerRunning(structs.TaskRef{Job: structs.JobID(id), Step: step}) != nil
}

// TestLaterStepFindsOtherShard guards against the later step of a job that waits for good in a
// shard that has lost the workers for it, although another shard has them.
func TestLaterStepFindsOtherShard(t *testing.T) {
	sim := newShardedSimulation(t, 2, 8, 4)
	sim.waitForLeader()
	sim.labelShards(func(ShardID) []string { return nil }, "b")
	sim.addJob(jobA, chainJob(2*time.Second, 4, "", "b"), 0)
	sim.waitFor(time.Second, "the first step", func() bool { return sim.stepRuns(jobA, 0) })
	sim.loseWorkers(0, "b")
	starts := 0
	for _, f := range sim.workers {
		f.onStart = func(e StartTask) startOutcome {
			if e.Task.Step == 0 {
				starts++
			}
			return startAnswered
		}
	}
	limit := 2*time.Second + maxLeaseDuration(testBounds) + lostLimit // tasks of the first step are lost with the workers
	sim.waitFor(limit, "the end of the first step", func() bool {
		p := sim.storedProgress(jobA)
		return p.IsDone(0) && p.IsDone(1) && p.IsDone(2) && p.IsDone(3)
	})
	startsBefore := starts
	sim.waitFor(startLimit, "the start of the second step", func() bool { return sim.stepRuns(jobA, 1) })
	req := sim.request(sim.hosts[0], RequestState, "/q/"+jobA)
	sim.waitFor(3*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if starts != startsBefore {
		t.Errorf("%d starts of the first step after the move, want none", starts-startsBefore)
	}
	if got := sim.answers[req].State; got != structs.JobRunning {
		t.Errorf("state %q after the move, want running", got)
	}
}

// TestStepsAlternateBetweenShards guards against a job that cannot come back to a shard that it
// has left: each of its steps needs workers that only one of the shards has.
func TestStepsAlternateBetweenShards(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	sim.labelShards(func(id ShardID) []string { return []string{fmt.Sprintf("only%d", id)} }, "")
	labels := []string{"only0", "only1", "only0", "only1", "only0", "only1"}
	sim.addJob(jobA, chainJob(300*time.Millisecond, 2, labels...), 0)
	for step := range labels {
		sim.waitFor(startLimit, fmt.Sprintf("the start of step %d", step), func() bool { return sim.stepRuns(jobA, step) })
		sim.waitFor(time.Second, "its end", func() bool { return !sim.stepRuns(jobA, step) })
	}
	sim.waitFor(time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	sim.advance(2 * time.Second)
	rows := 0
	for id := range sim.store.rows {
		if id.table == TableProgress && id.key == jobA {
			rows++
		}
	}
	if rows != 1 {
		t.Errorf("%d rows of progress, want the one of the last shard", rows)
	}
}

// TestMovedJobKeepsProgress guards against tasks that run again or never, and jobs of no shard
// or of two, when leaders are lost around the two transactions of the move of a job that has
// finished work. The oracle fails the test at a second run.
func TestMovedJobKeepsProgress(t *testing.T) {
	for name, lost := range map[string]struct {
		afterMark, afterRow bool
		rowOutcome          int
	}{
		"undisturbed":       {},
		"after the mark":    {afterMark: true},
		"after the row":     {afterRow: true},
		"row without reply": {rowOutcome: commitUnanswered},
		"row late":          {rowOutcome: commitLate},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newShardedSimulation(t, 3, 4, 2)
			sim.waitForLeader()
			sim.labelShards(func(id ShardID) []string { return []string{fmt.Sprintf("only%d", id)} }, "")
			moves := 0
			sim.store.commitOutcome = func(h *fakeHost, e Commit) int {
				for _, write := range e.Writes {
					p, isProgress := write.Value.(ProgressRow)
					row, isRow := write.Value.(JobRow)
					switch {
					case isProgress && p.Moving && lost.afterMark, isRow && row.Moves > 0 && lost.afterRow:
						sim.after(storeDelay+time.Millisecond, h.kill)
						sim.after(200*time.Millisecond, h.start)
					}
					if isRow && row.Moves > 0 {
						moves++
						return lost.rowOutcome
					}
				}
				return commitAnswered
			}
			job := chainJob(300*time.Millisecond, 70, "only0", "only1", "only0")
			for i := range job.Steps {
				job.Steps[i].Request.MilliCores = 100
			}
			sim.addJob(jobA, job, 0)
			sim.waitFor(time.Minute, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
			if moves < 2 {
				t.Errorf("%d moves, want one for each change of the label", moves)
			}
		})
	}
}

// TestMoveStaysWithinRow guards against the move of a job whose progress does not fit into its
// row: the store refuses the row, and the job belongs to no shard.
func TestMoveStaysWithinRow(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	l := sim.leaderOf(0).state.leaderOf(0)
	job := chainJob(time.Second, 300, "", "b")
	sim.addJob(jobA, job, 0)
	sim.waitFor(time.Second, "the job", func() bool { return l.jobs[jobA] != nil })
	j := l.jobs[jobA]
	j.SetDone(0)
	j.Checkpoints = make(map[int]string)
	for n := 1; n < 300; n++ {
		j.Checkpoints[n] = strings.Repeat("c", maxCheckpointBytes)
	}
	row, fits := l.movedRow(j, 1)
	if !fits || len(row.Moved.Checkpoints) > 0 || !row.Moved.IsDone(0) {
		t.Errorf("fits %v, %d checkpoints, want a row without them", fits, len(row.Moved.Checkpoints))
	}
	j.Failures = make(map[int][]structs.Run)
	for n := 1; n < 300; n++ {
		j.Failures[n] = make([]structs.Run, 50)
	}
	if l.startMove(j, 1); j.Moving {
		t.Error("a job moves whose row is over the limit")
	}
}

// TestJobThatIsNotDueStays guards against a repeated job that moves between shards while it
// waits for the time of its first occurrence.
func TestJobThatIsNotDueStays(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	sim.advance(time.Second)
	job := singleStepJob(1, time.Second, 1000)
	job.Repeat = &structs.Repeat{Count: 2, FirstMS: sim.wall() + 5000, EveryMS: 1000}
	sim.addJob(jobA, job, 0)
	sim.waitFor(9*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if row := sim.store.get(TableJobs, jobA).(JobRow); row.Moves > 0 {
		t.Errorf("the job moved %d times", row.Moves)
	}
}

// TestLargeStepFindsOtherShard guards against a task that waits in a shard whose workers are too
// small for it, although a worker of another shard has room: its size lies between two of those
// that the loads of shards tell.
func TestLargeStepFindsOtherShard(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	plan := func() ShardPlanRow { p, _ := sim.store.get(TableShards, KeyPlan).(ShardPlanRow); return p }
	sim.waitForLeader()
	for _, f := range sim.workers {
		if f.capacity.MilliCores = 7000; plan().Racks[f.rack] == 1 {
			f.capacity.MilliCores = 7800
		}
		f.writeEntry(false)
	}
	sim.advance(time.Second)
	job := chainJob(300*time.Millisecond, 1, "", "")
	job.Steps[1].Request.MilliCores = 7500
	sim.addJob(jobA, job, 0)
	sim.waitFor(time.Second, "the first step", func() bool { return sim.stepRuns(jobA, 0) })
	sim.waitFor(time.Second, "its end", func() bool { return !sim.stepRuns(jobA, 0) })
	sim.waitFor(startLimit, "the second step", func() bool { return sim.stepRuns(jobA, 1) })
}

// pauseShard lets no task start on the workers of a shard for a duration.
func (sim *simulation) pauseShard(shard ShardID, d time.Duration) {
	for _, w := range sim.leaderOf(shard).state.leaderOf(shard).workers {
		w.pauseStarts(d)
	}
}

// TestJobComesBackWithoutProgress guards against a job that waits for good in a shard that lost
// its room just as the job came, while the shard that gave it away has room again.
func TestJobComesBackWithoutProgress(t *testing.T) {
	sim := newShardedSimulation(t, 2, 4, 2)
	sim.waitForLeader()
	sim.advance(time.Second)
	sim.pauseShard(0, 1500*time.Millisecond)
	sim.addJob(jobA, singleStepJob(1, time.Second, 1000), 0)
	sim.waitFor(2*time.Second, "the move", func() bool { return sim.store.get(TableJobs, jobA).(JobRow).Shard == 1 })
	sim.pauseShard(1, time.Hour)
	sim.waitFor(startLimit, "the start in the first shard", func() bool { return sim.runningTasks(jobA) > 0 })
}

// TestObsoleteProgressIsIgnored guards against a leader that goes on from the progress of an
// earlier stay of a job in its shard, whose removal a former leader did not perform: done tasks
// would run again.
func TestObsoleteProgressIsIgnored(t *testing.T) {
	sim := newShardedSimulation(t, 3, 4, 2)
	sim.waitForLeader()
	sim.labelShards(func(id ShardID) []string { return []string{fmt.Sprintf("only%d", id)} }, "")
	obsolete := ProgressRow{structs.Progress{State: structs.JobRunning, ClaimEpoch: 1, Moving: true, MovingTo: 1}}
	lost := false
	sim.store.commitOutcome = func(_ *fakeHost, e Commit) int {
		for _, write := range e.Writes {
			if row, ok := write.Value.(JobRow); ok && row.Moves == 2 && !lost {
				lost = true
				sim.leaderOf(0).kill()
				sim.after(time.Millisecond, func() {
					sim.store.version++
					sim.store.put(fakeRowID{TableProgress, ShardID(0).partition(), jobA}, obsolete)
				})
			}
		}
		return commitAnswered
	}
	sim.addJob(jobA, chainJob(300*time.Millisecond, 2, "only0", "only1", "only0"), 0)
	sim.waitFor(20*time.Second, "completion", func() bool { return sim.jobState(jobA) == structs.JobCompleted })
	if !lost {
		t.Error("the job did not come back")
	}
}

// TestRowsOfReturnedJobStay guards against the progress of a job that has come back to a shard,
// which is removed with that of its earlier stay: a later leader would run its tasks again.
func TestRowsOfReturnedJobStay(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(1, time.Hour, 1000))
	l := sim.leader().state.leaderOf(0)
	group := progressGroupKey(jobA, 1)
	l.commits.removedProgress = []string{jobA, group, jobB}
	var removed []string
	for _, item := range l.takeItems() {
		if item.kind == itemRemoval {
			removed = append(removed, item.write.Key)
		}
	}
	if !slices.Equal(removed, []string{jobB}) {
		t.Errorf("removed %v, want the row of the other job only", removed)
	}
	if keys := l.jobs[jobA].progressKeys(); !slices.Contains(keys, group) {
		t.Errorf("rows of the job are %v, want %s among them", keys, group)
	}
}

// TestRunNumbersRiseAcrossShards guards against a run number that is used twice for one task: a
// later leader of its new shard does not know the runs that a former one started there, whose
// numbers began with those of the first shard.
func TestRunNumbersRiseAcrossShards(t *testing.T) {
	sim := newShardedSimulation(t, 3, 8, 4)
	sim.waitForLeader()
	sim.labelShards(func(ShardID) []string { return nil }, "b")
	var runs []structs.Run
	for _, f := range sim.workers {
		f.onStart = func(e StartTask) startOutcome { runs = append(runs, e.Run); return startAnswered }
	}
	changeLeader := func(shard ShardID) {
		h := sim.leaderOf(shard)
		h.kill()
		sim.waitFor(10*time.Second, "another leader", func() bool { return sim.leaderOf(shard) != nil })
		h.start()
		sim.waitForLeaders(2)
	}
	for range 3 {
		changeLeader(0)
	}
	sim.addJob(jobA, chainJob(time.Hour, 1, "b"), 0)
	sim.waitFor(startLimit, "the first run", func() bool { return sim.runningTasks(jobA) > 0 })
	changeLeader(0)
	sim.loseWorkers(0, "b")
	sim.waitFor(maxLeaseDuration(testBounds)+startLimit, "the run in the other shard", func() bool { return sim.runningTasks(jobA) > 0 })
	f := sim.workerRunning(structs.TaskRef{Job: jobA})
	f.crash()
	sim.after(200*time.Millisecond, f.boot)
	changeLeader(1)
	sim.waitFor(maxLeaseDuration(testBounds)+startLimit, "the next run", func() bool { return sim.runningTasks(jobA) > 0 })
	if len(runs) != 3 || !slices.IsSorted(runs) || runs[1] == runs[2] {
		t.Errorf("the runs are %v, want three rising numbers", runs)
	}
}

// waitForLeaders waits until so many shards have a leader that has read its state.
func (sim *simulation) waitForLeaders(shards ShardID) {
	sim.t.Helper()
	sim.waitFor(10*time.Second, "a leader of each shard", func() bool {
		for id := range shards {
			if h := sim.leaderOf(id); h == nil || !h.state.leaderOf(id).isLoaded() {
				return false
			}
		}
		return true
	})
}

// TestFailuresOfMovedJobSurviveTakeover guards against failed runs of a job that moved which a later
// leader of its new shard does not know, so that its tasks run more often than they may.
func TestFailuresOfMovedJobSurviveTakeover(t *testing.T) {
	sim := newShardedSimulation(t, 3, 4, 2)
	sim.waitForLeader()
	const task = tasksPerProgressRow + 5 // in a further row
	job := singleStepJob(2*tasksPerProgressRow, time.Minute, 10)
	job.Moves, job.MovedFrom = 1, []int{0}
	job.Moved = &structs.MovedProgress{FirstRun: 3, Progress: structs.Progress{State: structs.JobRunning, Failures: map[int][]structs.Run{task: {1, 2}}}}
	sim.addJob(jobA, job, 1)
	sim.waitFor(startLimit, "the start", func() bool { return sim.runningTasks(jobA) > 0 })
	sim.leaderOf(1).kill()
	sim.waitFor(10*time.Second, "another leader", func() bool {
		h := sim.leaderOf(1)
		return h != nil && h.state.leaderOf(1).isLoaded()
	})
	if got := sim.leaderOf(1).state.leaderOf(1).jobs[jobA].Failures[task]; !slices.Equal(got, []structs.Run{1, 2}) {
		t.Errorf("failed runs are %v, want [1 2]", got)
	}
}

// TestRoomBesideTasksThatWait guards against a job that waits for good although another shard has
// room for it, since larger tasks wait there that do not fit: what they request was taken off the
// room that the shard tells.
func TestRoomBesideTasksThatWait(t *testing.T) {
	for name, persistent := range map[string]bool{"finite": false, "persistent": true} {
		t.Run(name, func(t *testing.T) {
			sim := newShardedSimulation(t, 2, 4, 2)
			sim.waitForLeader()
			sim.labelShards(func(id ShardID) []string { return []string{fmt.Sprintf("only%d", id)} }, "")
			large := persistentJob(4, 5000) // two of them fit
			large.Steps[0].Label = "only1"
			sim.addJob(jobB, large, 1)
			sim.waitFor(startLimit, "the start of two large tasks", func() bool { return sim.runningTasks(jobB) == 2 })
			sim.advance(time.Second)
			job := chainJob(time.Second, 2, "only1")
			job.Steps[0].Persistent = persistent
			sim.addJob(jobA, job, 0)
			sim.waitFor(startLimit, "the start in the other shard", func() bool { return sim.runningTasks(jobA) == 2 })
		})
	}
}
