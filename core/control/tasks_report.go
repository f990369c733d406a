package control

import (
	"fmt"
	"sort"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// maxTargets bounds the targets of one partition, which are sent in one message of at
// most 16 MB. It is more than the replicas of all partitions to design for.
const maxTargets = 16_384

// runningTargets returns the targets for the service replicas that accept calls,
// in order of task id, up to maxTargets.
func (s *State) runningTargets(o *ownedPartition) []structs.Target {
	var targets []structs.Target
	for _, w := range o.tasks.workerList {
		for _, c := range w.row.Commitments {
			t := o.tasks.byID[c.Task]
			if t == nil || !t.isRun(RunRef{c.Task, c.Run}) || !t.answersCalls() {
				continue
			}
			targets = append(targets, structs.Target{
				Service: t.row.Row, Task: c.Task, Run: c.Run, Worker: w.id, Zone: w.spec.Zone, Address: w.spec.Address,
				Slots: w.spec.Slots, Leaving: w.isLeaving() || w.unresponsive || t.intent != intentKeep,
			})
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Task < targets[j].Task })
	leftOut := max(0, len(targets)-maxTargets)
	if (leftOut > 0) != o.tasks.targetsLeftOut {
		o.tasks.targetsLeftOut = leftOut > 0
		s.recordDecision(DecisionRecord{
			Part: "partition", Action: "targets left out", Subject: o.partition.name(),
			Reason: fmt.Sprintf("%d replicas beyond the first %d get no calls", leftOut, maxTargets),
		})
	}
	return targets[:len(targets)-leftOut]
}

// answersCalls reports whether the run is a replica that calls may be sent to. If
// an adopted run turns out not to exist, its worker refuses the calls as not run.
func (t *task) answersCalls() bool {
	return t.row.Kind == structs.KindService && (t.run.running || t.run.presumedRunning)
}

// taskStatuses lists the tasks of a partition for an operator.
func (s *State) taskStatuses(o *ownedPartition) []TaskStatus {
	var list []TaskStatus
	for _, t := range o.tasks.all {
		st := TaskStatus{Task: t.row.Task, Row: t.row.Row, Phase: t.row.Phase, Worker: t.row.Worker, Run: t.row.Run, Reason: t.row.Reason}
		if r := o.tasks.rows[t.row.Row]; st.Reason == "" && t.queued && r != nil {
			st.Reason = r.blockedReason
		}
		list = append(list, st)
	}
	return list
}
