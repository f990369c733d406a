package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// recordFormerRelease records when this owner first saw that the former owner had
// released the partition.
func (s *State) recordFormerRelease(o *ownedPartition) {
	if o.partition.former.released && o.tasks.formerReleasedAt == 0 {
		o.tasks.formerReleasedAt = s.now
	}
}

// checkUnresponsive handles a worker that does not answer: its replicas are
// replaced after workerUnresponsiveAfter, and its commitments are released once
// its leases have certainly expired.
func (s *State) checkUnresponsive(o *ownedPartition, w *workerState) {
	lastAnswer := max(w.answeredAt, o.tasks.loadedAt)
	if s.now-lastAnswer < workerUnresponsiveAfter || !s.mayRenewLeases(o) || w.missedSyncs < minMissedSyncs && w.spec.Address != "" {
		return
	}
	if !w.unresponsive {
		w.unresponsive = true
		s.recordDecision(DecisionRecord{Part: "worker", Action: "does not answer", Subject: string(w.id)})
		s.replaceReplicas(o, w, "its worker does not answer")
		s.targetsChanged(o)
	}
	if len(w.row.Commitments) > 0 && s.leasesExpired(o, w) {
		s.workerLost(o, w)
	}
}

// leasesExpired reports whether every lease on the worker has certainly expired
// and the worker's watchdog has stopped the runs.
func (s *State) leasesExpired(o *ownedPartition, w *workerState) bool {
	if w.boot != "" {
		return w.clockNow(s.now) >= w.leaseUntil+watchdogDelay
	}
	// The worker never answered this owner, so the former owner may have renewed
	// its leases until it released the partition, or until it had to give it up.
	if o.partition.former.released {
		return o.tasks.formerReleasedAt > 0 && s.now >= o.tasks.formerReleasedAt+maxOnDriftingClock(taskLease)+watchdogDelay
	}
	return s.now >= o.partition.former.renewalsEndBy+maxOnDriftingClock(outageGrace+taskLease)+watchdogDelay
}

// unreleasedFormerOwner returns the former owner that may still renew leases here: it
// has not released the partition, and at least one worker with commitments has
// not answered this owner, whose epoch fences the former one. The next owner of
// the partition must know.
func (o *ownedPartition) unreleasedFormerOwner() structs.InstanceID {
	if o.partition.former.released {
		return ""
	}
	if !o.loaded {
		return o.partition.former.instance
	}
	for _, w := range o.tasks.workerList {
		if w.boot == "" && len(w.row.Commitments) > 0 {
			return o.partition.former.instance
		}
	}
	return ""
}

// maxOnDriftingClock returns the longest time on this clock in which d passes on
// a clock that drifts by at most clockDriftPercent.
func maxOnDriftingClock(d time.Duration) time.Duration { return d * (100 + clockDriftPercent) / 100 }

// workerLost releases the commitments of a worker whose leases have expired. Its
// tasks return to the queue with their last checkpoint.
func (s *State) workerLost(o *ownedPartition, w *workerState) {
	for _, c := range w.row.Commitments {
		t := o.tasks.byID[c.Task]
		if t != nil && t.isRun(RunRef{c.Task, c.Run}) {
			s.runEnded(o, t, w, structs.RunStatus{
				Task: c.Task, Run: c.Run, State: structs.RunGone, Detail: "its lease expired on a worker that does not answer",
			})
		}
	}
}
