package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// steadySyncInterval is the time between synchronizations of a worker on
	// which nothing changes. A lease outlives four of them. Synchronizing every
	// worker at every step cost two thirds of the bytes and most requests of an
	// idle entry host.
	steadySyncInterval = 3 * time.Second
	// latencyWatchRatio is the share of a service's latency target from which its
	// worker is synchronized at every step, so that a demand peak is detected
	// without extra delay.
	latencyWatchRatio = 0.5
)

// syncDue reports whether the worker should be synchronized at this step.
func (s *State) syncDue(o *ownedPartition, w *workerState) bool {
	return s.now-w.syncedAt >= steadySyncInterval || s.needsFrequentSync(o, w)
}

// needsFrequentSync reports whether the worker must be synchronized at every
// step: it does not answer, is leaving or is quarantined, tasks are pending, its
// services are near their latency targets, or one of its runs is starting, ending
// or not yet steady.
func (s *State) needsFrequentSync(o *ownedPartition, w *workerState) bool {
	if w.boot == "" || w.missedSyncs > 0 || w.unresponsive || w.isLeaving() || w.health.Quarantined || o.tasks.pending > 0 {
		return true
	}
	if w.throttle.Pressure != policy.PressureNone || w.latencyRatio >= latencyWatchRatio {
		return true
	}
	for _, c := range w.row.Commitments {
		if t := o.tasks.byID[c.Task]; t == nil || !t.isRun(RunRef{c.Task, c.Run}) || !t.steady() {
			return true
		}
	}
	return false
}

// steady reports whether the run has been running for stableRunTime and nothing
// is to be done with it. An adopted run becomes steady only after its worker has
// reported it to this owner.
func (t *task) steady() bool {
	run := &t.run
	return t.row.Phase == structs.TaskAssigned && t.intent == intentKeep && !t.writing && run.provedStable && run.running &&
		!run.startInFlight && !run.stopInFlight && !run.stopConfirmed && !run.throttleInFlight
}
