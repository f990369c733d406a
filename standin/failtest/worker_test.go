package failtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/audit"
	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

// busiestGroup returns the worker process with the most batch tasks, other than
// the excluded one. Ties go to the process with more tasks. Batch tasks count
// first, because replicas are replaced under new names.
func (c *cluster) busiestGroup(excluded *deployment.WorkerGroup) *deployment.WorkerGroup {
	c.t.Helper()
	var rows map[structs.TaskID]structs.TaskRow
	c.must(deployment.Await(c.ctx, "the task rows", recoveryTimeout, func() (err error) {
		rows, err = c.TaskRows()
		return err
	}))
	score := make(map[*deployment.WorkerGroup]int)
	for _, r := range rows {
		if g := c.WorkerGroup(r.Worker); g != nil && g != excluded && r.Phase == structs.TaskAssigned {
			score[g]++
			if r.Kind == structs.KindBatch {
				score[g] += len(rows)
			}
		}
	}
	var best *deployment.WorkerGroup
	for _, g := range c.Workers {
		if score[g] > 0 && (best == nil || score[g] > score[best]) {
			best = g
		}
	}
	if best == nil {
		c.t.Fatal("no worker process runs a task")
	}
	return best
}

// Guards against tasks that run in two places or are not started again after
// their worker is killed or is frozen beyond its lease.
func TestWorkerKilledAndFrozen(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 0))
	frozen := c.busiestGroup(nil)
	killed := c.busiestGroup(frozen)
	killed.Kill()
	c.must(frozen.Freeze())
	began := time.Now()
	c.must(c.AwaitRunning(c.ctx, sheetRows, reschedulingTimeout))
	t.Logf("all tasks ran on other workers after %.1f s", time.Since(began).Seconds())
	c.must(frozen.Thaw())
	hosts, err := c.Hosts()
	c.must(err)
	for _, id := range frozen.WorkerIDs() {
		c.must(deployment.Await(c.ctx, "an answer of the continued worker", recoveryTimeout, func() error {
			_, err := deployment.Executions(hosts[string(id)].Address)
			return err
		}))
	}
	c.callThroughEachHost("after")
	c.stopAndAudit()
}

// Guards against a leaving target that gets new calls or tasks, calls that are
// cut when its tasks are moved, and batch tasks that lose their progress.
func TestTargetLeavesUnderLoad(t *testing.T) {
	c := startCluster(t, nil, loadFlags(40, 10, 100))
	group := c.busiestGroup(nil)
	c.markLeaving(group)
	left := time.Now()
	c.must(deployment.Await(c.ctx, "no tasks on the leaving workers", reschedulingTimeout, func() error { return c.checkNoTasks(group.WorkerIDs()) }))
	c.must(c.AwaitRunning(c.ctx, sheetRows, reschedulingTimeout))
	report, journal := c.stopAndAudit()
	for _, id := range group.WorkerIDs() {
		for _, line := range audit.CheckNoNewWork(journal, id, left.Add(leavingTargetGracePeriod)) {
			t.Error(line)
		}
	}
	for _, attempt := range report.IncompleteAttempts {
		t.Errorf("incomplete attempt: %+v", attempt)
	}
	checkResumes(t, journal)
}

// markLeaving marks all workers of a process as leaving. It retries reads of the
// host list, because the store may be losing answers.
func (c *cluster) markLeaving(g *deployment.WorkerGroup) {
	c.t.Helper()
	var hosts map[string]wire.Host
	c.must(deployment.Await(c.ctx, "the host list", recoveryTimeout, func() (err error) {
		hosts, err = c.Hosts()
		return err
	}))
	for _, id := range g.WorkerIDs() {
		c.must(deployment.MarkLeaving(hosts[string(id)].Address))
	}
}

// checkNoTasks checks that no task is assigned to the workers or still being
// evicted from them.
func (c *cluster) checkNoTasks(workers []structs.WorkerID) error {
	rows, err := c.TaskRows()
	if err != nil {
		return err
	}
	for _, r := range rows {
		if slices.Contains(workers, r.Worker) && (r.Phase == structs.TaskAssigned || r.Phase == structs.TaskEvicting) {
			return fmt.Errorf("task %s is still assigned to worker %s in phase %s", r.Task, r.Worker, r.Phase)
		}
	}
	return nil
}

// checkResumes checks that each task was resumed once per checkpointed run.
func checkResumes(t *testing.T, journal []wire.JournalEntry) {
	t.Helper()
	resumed := make(map[structs.TaskID]int)
	checkpointed := make(map[structs.TaskID]int)
	for _, e := range journal {
		if e.Started != nil && e.Started.ResumeFrom != "" {
			resumed[e.Started.Task]++
		}
		if e.Ended != nil && e.Ended.State == structs.RunCheckpointed {
			checkpointed[e.Ended.Task]++
		}
	}
	for task, n := range checkpointed {
		if resumed[task] != n {
			t.Errorf("task %s was checkpointed %d times but resumed %d times", task, n, resumed[task])
		}
	}
}
