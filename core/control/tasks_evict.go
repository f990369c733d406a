package control

import (
	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// maxEvictionsPerRow is the number of evictions in progress for one row at
// which no further ones begin.
const maxEvictionsPerRow = 4

// underPressureCost steers evictions for urgent work away from workers whose
// service misses its latency target while other workers qualify. It outweighs the
// loss of a few tasks of low importance.
const underPressureCost = 20.0

// evict starts the eviction of a batch run. The new phase is durable before the
// worker is told to checkpoint, so that a new owner continues the eviction. It
// reports whether the eviction started.
func (s *State) evict(o *ownedPartition, t *task, reason string, forRow *rowState) bool {
	if t.writing || t.row.Kind != structs.KindBatch || t.row.Phase != structs.TaskAssigned || t.run.stopInFlight || t.run.stopConfirmed {
		return false
	}
	t.run.endReason, t.run.evictedFor, t.run.evictedAt = reason, forRow, s.now
	if forRow != nil {
		forRow.pendingEvictions++
		if w := o.tasks.workers[t.row.Worker]; w != nil {
			w.pendingEvictions, w.evictingFor = w.pendingEvictions+1, forRow.sheet.Importance
		}
	}
	o.tasks.setPhase(t, structs.TaskEvicting)
	s.saveTask(o, t, nil)
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: "evicted", Subject: string(t.row.Task), Where: string(t.row.Worker),
		Reason: reason, Request: string(t.row.Task),
	})
	return true
}

// evictForRow evicts less important batch runs for a row that may preempt them,
// on the worker where that costs least. It reports whether evictions for the row
// are in progress.
func (s *State) evictForRow(o *ownedPartition, r *rowState, request structs.Resources) bool {
	if !policy.MayEvict(r.sheet, structs.ImportanceLow) {
		return false
	}
	if r.pendingEvictions >= min(r.waiting, maxEvictionsPerRow) {
		return r.pendingEvictions > 0
	}
	var best []policy.Victim
	var bestCost float64
	for _, w := range o.tasks.workerList {
		if !w.accepting() || w.health.OnTrial || !request.Fits(w.spec.Capacity) {
			continue
		}
		chosen, cost := policy.ChooseVictims(request, w.spec.Capacity.Sub(w.committed), s.evictionCandidates(o, r, w))
		if w.throttle.Pressure > policy.PressureNone {
			cost += underPressureCost
		}
		if len(chosen) > 0 && (best == nil || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	if best == nil || !o.tasks.evictions.Take(s.now, len(best)) {
		return r.pendingEvictions > 0
	}
	for _, v := range best {
		s.evict(o, o.tasks.byID[v.Task], "makes room for "+r.name, r)
	}
	return true
}

// evictionCandidates lists the runs on a worker that the row may preempt. While
// an eviction is in progress there, the list is empty: the worker is about to
// have free capacity.
func (s *State) evictionCandidates(o *ownedPartition, r *rowState, w *workerState) []policy.Victim {
	var list []policy.Victim
	for _, c := range w.row.Commitments {
		t := o.tasks.byID[c.Task]
		if t == nil || !t.isRun(RunRef{c.Task, c.Run}) {
			continue
		}
		if t.row.Phase == structs.TaskEvicting || t.intent != intentKeep {
			return nil
		}
		importance := s.rowOf(o, t.row.Row).sheet.Importance
		if t.writing || !t.run.running || t.row.Kind != structs.KindBatch || !policy.MayEvict(r.sheet, importance) {
			continue
		}
		list = append(list, s.victim(o, t, c.Request))
	}
	return list
}

// victim describes a run for the comparison of eviction costs.
func (s *State) victim(o *ownedPartition, t *task, request structs.Resources) policy.Victim {
	r := s.rowOf(o, t.row.Row)
	return policy.Victim{
		Task: t.row.Task, Importance: r.sheet.Importance, Request: request,
		Progress: t.run.progress, Evictions: t.row.Evictions, RunningFor: s.now - t.run.runningSince, ExpectedLoss: r.resume.Expected(),
	}
}
