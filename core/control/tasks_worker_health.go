package control

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
)

// failuresOnGoodWorkers counts the workers on which the task failed and which run
// other jobs well. Once the task has been tried in every partition, workers in
// good standing that have not run anything yet count as well.
func (s *State) failuresOnGoodWorkers(o *ownedPartition, t *task) int {
	n := 0
	for _, id := range t.row.FailedOn {
		w := o.tasks.workers[id]
		if w != nil && (w.health.RunsOthersWell() || s.triedAllPartitions(t) && w.health.GoodStanding()) {
			n++
		}
	}
	return n
}

// triedAllPartitions reports whether a task was transferred often enough to have
// been in every partition.
func (s *State) triedAllPartitions(t *task) bool { return t.row.Transfers >= len(s.partitions)-1 }

// shouldLeavePartition reports whether a task failed on so many workers of its
// partition that it should be tried in another one, to tell whether the job or
// the workers are at fault.
func (s *State) shouldLeavePartition(o *ownedPartition, t *task) bool {
	if len(t.row.FailedOn) == 0 || s.triedAllPartitions(t) {
		return false
	}
	accepting := 0
	for _, w := range o.tasks.workerList {
		if w.accepting() {
			accepting++
		}
	}
	return len(t.row.FailedOn) >= min(policy.JobFailureLimit, accepting)
}

// recordWorkerFailure counts a failed run against a worker and quarantines the
// worker when runs of different jobs fail there and the partition's limit on
// quarantined workers allows it.
func (s *State) recordWorkerFailure(o *ownedPartition, w *workerState, row string) {
	if !w.health.Failed(row) {
		return
	}
	quarantined := 0
	for _, x := range o.tasks.workerList {
		if x.health.Quarantined {
			quarantined++
		}
	}
	if w.health.Quarantined || quarantined >= policy.QuarantineLimit(len(o.tasks.workerList)) {
		return
	}
	w.health.Quarantine(s.now)
	s.recordDecision(DecisionRecord{
		Part: "worker", Action: "set aside", Subject: string(w.id),
		Reason: fmt.Sprintf("runs of different jobs fail there; next try in %v", (w.health.QuarantinedUntil - s.now).Round(time.Second)),
	})
}

// recordWorkerSuccess restores a worker to good standing after a run that
// succeeded or ran for stableRunTime.
func (s *State) recordWorkerSuccess(o *ownedPartition, w *workerState) {
	wasSuspect := w.health.OnTrial || w.health.Quarantined
	w.health.Succeeded()
	if wasSuspect {
		s.recordDecision(DecisionRecord{Part: "worker", Action: "in good standing", Subject: string(w.id), Reason: "a run went well"})
		s.capacityChanged(o)
	}
}

// checkQuarantine puts a worker on trial when its quarantine is over.
func (s *State) checkQuarantine(o *ownedPartition, w *workerState) {
	if w.health.EndPause(s.now) {
		s.recordDecision(DecisionRecord{Part: "worker", Action: "tried again", Subject: string(w.id), Reason: "with one task"})
		s.capacityChanged(o)
	}
}
