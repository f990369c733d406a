package control

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// maxPlacementBacklog is the number of unwritten changes at which placement
	// stops: decisions that wait long for the store are out of date.
	maxPlacementBacklog = 512
	// topRowsPerStep rows at the front of the queue are tried in every step
	// before the pass continues, so that capacity freed during a pass goes to the
	// most important rows first.
	topRowsPerStep = 4
	// retryFailedWorkerAfter is how long a task waits for free capacity on other
	// workers before it may return to a worker on which it failed: the fault may
	// have been temporary.
	retryFailedWorkerAfter = 60 * time.Second
	maxTasksPerRow         = 8 // tasks of one row placed before the next row is tried
)

// placeStep continues the pass over the waiting rows. It reports whether rows are
// left.
func (s *State) placeStep(o *ownedPartition) bool {
	if !s.canPlace(o) {
		return false
	}
	q := &o.tasks.queue
	examined := 0
	if !q.beginPass(s.now, o.tasks.workerList) || q.anyHandled {
		for i := 0; i < topRowsPerStep && i < len(q.rows); i++ {
			n, _ := s.placeRow(o, q.rows[i], false)
			examined += n
		}
	}
	if !q.passActive {
		s.scheduleNextPass(o)
		return false
	}
	for examined < itemsPerStep && s.canPlace(o) {
		r := q.next()
		if r == nil {
			s.scheduleNextPass(o)
			return false
		}
		key := r.rank
		n, more := s.placeRow(o, r, true)
		examined += n
		if !more {
			// Otherwise more tasks of the row may fit, and next returns it again.
			q.markHandled(key)
		}
	}
	return true
}

// scheduleNextPass schedules the next pass if one was requested.
func (s *State) scheduleNextPass(o *ownedPartition) {
	q := &o.tasks.queue
	if q.passRequested && len(q.rows) > 0 && !q.passScheduled {
		q.passScheduled = true
		s.setTimer(max(q.nextPass, s.now+workStepDelay), timerTaskWork, uint64(o.partition.id))
	}
}

// canPlace reports whether placements would become durable soon.
func (s *State) canPlace(o *ownedPartition) bool {
	return s.store.reachable() && len(o.outbox) < maxPlacementBacklog && !o.releasing && s.configUpToDate(o)
}

// placeRow places waiting tasks of a row. It returns how many tasks it examined,
// at least 1, and whether more of them may fit. Within a pass, a row whose
// request exceeds the free capacity of every worker at the beginning of the pass
// is skipped without examining the workers.
func (s *State) placeRow(o *ownedPartition, r *rowState, inPass bool) (examined int, more bool) {
	placed := false
	for examined = 1; examined <= maxTasksPerRow; examined++ {
		t := r.head()
		if t == nil || !r.listed {
			return examined, false
		}
		request := s.reservation(o, r)
		if !o.tasks.fitsAnyWorker(request) {
			s.reportUnplaceable(o, r, t, request)
			return examined, false
		}
		if over := s.quotaRefusal(o, r, request); over != "" {
			r.noCapacity = false
			s.reportBlocked(r, t, over)
			return examined, false
		}
		if s.shouldLeavePartition(o, t) && s.transferFailedTask(o, r, t, request) {
			continue
		}
		var w *workerState
		refusal := policy.NoCapacity
		if !inPass || request.Fits(o.tasks.queue.maxFree) {
			w, refusal = s.chooseWorker(o, r, t, request)
		}
		if w == nil {
			s.handleNoCapacity(o, r, t, request, refusal)
			switch {
			case !t.queued:
				// Transferred to another partition; try the next task of the row.
			case refusal == policy.FailedBefore:
				r.rotate() // the next task of the row may not have failed on those workers
			default:
				return examined, false
			}
			continue
		}
		s.assign(o, r, t, w, request)
		placed = true
	}
	return maxTasksPerRow, placed && r.waiting > 0
}

// chooseWorker returns the worker with the best score, the first by id among
// equals. If none qualifies, it returns nil and the reason that a worker that
// accepts tasks refused.
func (s *State) chooseWorker(o *ownedPartition, r *rowState, t *task, request structs.Resources) (*workerState, policy.Refusal) {
	demand := policy.Demand{
		Kind: r.sheet.Kind, Request: request, SizeUnknown: !r.learnedSize.Known(), Urgent: r.sheet.Importance == structs.ImportanceUrgent,
	}
	elsewhere := s.avoidsFailedWorkers(o, r, t)
	var best *workerState
	var bestScore float64
	refusal := policy.NotAccepting
	for _, w := range o.tasks.workerList {
		c := s.candidate(o, r, t, w, request)
		c.OthersUntried = elsewhere
		if why := policy.Filter(demand, c); why != policy.Fits {
			if why != policy.NotAccepting && refusal != policy.FailedBefore {
				refusal = why
			}
			continue
		}
		c.Interference = o.tasks.interference.Mutual(r.name, w.rowNames, policy.LoadLevel(w.committed.Add(request), w.spec.Capacity))
		if score := policy.Score(demand, c); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best, refusal
}

// candidate describes a worker as a possible place for the task.
func (s *State) candidate(o *ownedPartition, r *rowState, t *task, w *workerState, request structs.Resources) policy.Candidate {
	return policy.Candidate{
		Capacity: w.spec.Capacity, Committed: w.committed, Accepting: w.accepting(), OnTrial: w.health.OnTrial,
		Tasks: len(w.row.Commitments), BatchThrottled: w.throttle.Pressure > policy.PressureNone,
		Reserved:   w.pendingEvictions > 0 && r.sheet.Importance < w.evictingFor,
		RowFull:    !w.rowHolds(structs.Commitment{Task: t.row.Task, Run: t.row.Run + 1, Request: request}),
		SameWorker: r.workers[w.id], SameRack: r.racks[w.spec.Rack], SameZone: r.zones[w.spec.Zone],
		FailedHere: failedOn(t, w.id),
	}
}

// avoidsFailedWorkers reports whether a task should wait for a worker on which it
// has not failed instead of returning to one on which it has.
func (s *State) avoidsFailedWorkers(o *ownedPartition, r *rowState, t *task) bool {
	if len(t.row.FailedOn) == 0 || r.noCapacity && s.now-r.noCapacitySince >= retryFailedWorkerAfter {
		return false
	}
	for _, w := range o.tasks.workerList {
		if w.accepting() && !failedOn(t, w.id) {
			return true
		}
	}
	return false
}

// failedOn reports whether a run of the task failed on the worker.
func failedOn(t *task, id structs.WorkerID) bool {
	for _, f := range t.row.FailedOn {
		if f == id {
			return true
		}
	}
	return false
}

// assign commits a task to a worker. The run starts only once the commitment is
// durable.
func (s *State) assign(o *ownedPartition, r *rowState, t *task, w *workerState, request structs.Resources) {
	s.dequeue(o, t)
	t.run = runState{boot: w.boot, share: 1}
	t.unplaceableReported = false
	r.noCapacity, r.blockedReason = false, ""
	o.tasks.setPhase(t, structs.TaskAssigned)
	t.row.Run++
	t.row.Worker, t.row.Request, t.row.SpecHash, t.row.Reason = w.id, request, r.specHash, ""
	t.row.Generation = max(t.row.Generation, s.config.current.Generation)
	w.commit(structs.Commitment{Task: t.row.Task, Run: t.row.Run, Request: request}, r.name)
	s.charge(o, t, r.sheet.Team, request)
	r.addPlacement(t, w)
	s.saveTask(o, t, w)
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: "assigned", Subject: string(t.row.Task), Where: string(w.id),
		Reason: fmt.Sprintf("best of the workers with room, %d tasks there", len(w.row.Commitments)), Request: string(t.row.Task),
	})
}

// handleNoCapacity handles a task that no worker of the partition can accept now:
// urgent work and services may evict batch runs, other work may be transferred to
// another partition.
func (s *State) handleNoCapacity(o *ownedPartition, r *rowState, t *task, request structs.Resources, refusal policy.Refusal) {
	if !r.noCapacity {
		r.noCapacity, r.noCapacitySince = true, s.now
		if wait := s.transferWait(o, r, t, request); wait < transferAfter {
			s.setTimer(s.now+wait+workStepDelay, timerTaskWork, uint64(o.partition.id))
		}
	}
	s.reportBlocked(r, t, string(refusal))
	if s.evictForRow(o, r, request) {
		return
	}
	s.transferIfOverdue(o, r, t, request)
}

// reportBlocked records once why the tasks of a row wait.
func (s *State) reportBlocked(r *rowState, t *task, reason string) {
	if r.blockedReason != "" {
		return
	}
	r.blockedReason = reason
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: "waits", Subject: string(t.row.Task), Reason: reason, Request: string(t.row.Task),
	})
}

// reportUnplaceable records once that no worker is large enough for the task.
func (s *State) reportUnplaceable(o *ownedPartition, r *rowState, t *task, request structs.Resources) {
	if t.unplaceableReported {
		return
	}
	t.unplaceableReported = true
	t.row.Reason = fmt.Sprintf("no worker is large enough for %s", formatResources(request))
	s.recordDecision(DecisionRecord{
		Part: "placement", Action: "cannot run", Subject: string(t.row.Task), Reason: t.row.Reason, Request: string(t.row.Task),
	})
}

// formatResources renders resources for decision records and for specHash, whose
// stored values depend on this format.
func formatResources(r structs.Resources) string {
	return fmt.Sprintf("%dm cores, %d MB, %d accelerators", r.MilliCores, r.MemoryMB, r.Accelerators)
}
