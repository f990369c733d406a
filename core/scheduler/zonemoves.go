package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Finite runs in an evacuated zone end where they are, since a stop would throw their work
// away. Persistent tasks move to workers outside, a few at a time and within the limit of
// their step, into room that nothing else needs. Those that find none stay: the operator asks
// that nothing starts in the zone, not that nothing runs there.

const (
	// maxZoneMoves bounds the tasks of a shard that are on their way out of evacuated zones.
	maxZoneMoves = 4
	// zoneMoveTimeout is the age from which a move no longer counts: the task finds no room or
	// does not start up, and other tasks should not wait for it.
	zoneMoveTimeout = 5 * time.Second
	// zoneMoveRetry is the pause after a search for room that found none for a step.
	zoneMoveRetry = 500 * time.Millisecond
	// zoneMoveReserve is the share of a worker's processors, one in so many, that a task that
	// moves there leaves free for finite tasks.
	zoneMoveReserve = 4
)

// zoneMoves holds the moves out of evacuated zones.
type zoneMoves struct {
	pending []zoneMove
	retryAt map[stepKey]Instant // no search for room for a step before
	// empty are the evacuated zones in which none of the shard's workers has runs.
	empty map[string]bool
}

// zoneMove is the move of one task.
type zoneMove struct {
	from   *run
	sentAt Instant
}

// done reports whether the task has started up elsewhere, or need not be waited for.
func (m *zoneMove) done(now Instant) bool {
	t := m.from.job.taskAt(m.from.ref)
	arrived := t.run != nil && t.run != m.from && t.run.readySince > 0
	return arrived || t.elsewhere || !m.from.job.schedulable() || now-m.sentAt >= zoneMoveTimeout
}

// moveFromEvacuatedZone moves persistent tasks off the worker if its zone is evacuated.
func (w *worker) moveFromEvacuatedZone() {
	l := w.leader
	if !w.inEvacuatedZone() || w.entry.Draining || l.startsPaused {
		return
	}
	now := l.state.now
	l.zoneMoves.pending = slices.DeleteFunc(l.zoneMoves.pending, func(m zoneMove) bool { return m.done(now) })
	maps.DeleteFunc(l.zoneMoves.retryAt, func(_ stepKey, at Instant) bool { return now >= at })
	for _, r := range w.sortedRuns() {
		if len(l.zoneMoves.pending) >= maxZoneMoves {
			return
		}
		if r.phase != phaseRunning || r.stopRequestedAt > 0 || !r.step.Persistent || r.step.Gang || !r.job.mayInterrupt(r.ref) {
			continue
		}
		if _, waits := l.zoneMoves.retryAt[stepKeyOf(r.ref)]; waits {
			continue
		}
		target := l.roomOutside(r)
		if target == nil {
			l.zoneMoves.pause(stepKeyOf(r.ref), now)
			continue
		}
		target.keepRoom(keptRoom{job: r.job, need: reservation(r.step), forRestart: true}, l.state.bounds.StopTimeout+restartHoldTime)
		l.zoneMoves.pending = append(l.zoneMoves.pending, zoneMove{r, now})
		l.stopRun(r, "the zone is evacuated")
	}
}

// pause records that a search found no room for a step.
func (m *zoneMoves) pause(step stepKey, now Instant) {
	if m.retryAt == nil {
		m.retryAt = make(map[stepKey]Instant)
	}
	m.retryAt[step] = now + zoneMoveRetry
}

// mayInterrupt reports whether a task of a persistent step may be kept from working: with it,
// no more of the step are unavailable than may be, or one where the step states no limit. Tasks
// that other shards schedule count as unavailable, since their state is not known here.
func (j *job) mayInterrupt(ref structs.TaskRef) bool {
	limit := max(j.Steps[ref.Step].MaxUnavailable, 1)
	unavailable := 1
	for index := range j.Steps[ref.Step].Count {
		if index == ref.Index {
			continue
		}
		t := j.taskAt(j.taskRef(ref.Occurrence, ref.Step, index))
		if t.elsewhere || t.run == nil || !t.run.available() {
			unavailable++
		}
		if unavailable > limit {
			return false
		}
	}
	return true
}

// available reports whether the run of a persistent task has started up and is not being stopped,
// as far as its worker has answered.
func (r *run) available() bool {
	return r.phase == phaseRunning && r.readySince > 0 && r.stopRequestedAt == 0 && r.worker.failedSyncs == 0
}

// roomOutside returns the best worker for the task of a run that keeps a reserve for finite
// tasks, or nil. Workers in evacuated zones accept no starts.
func (l *leaderState) roomOutside(r *run) *worker {
	ranking := l.newRanking(r.job, r.ref.Occurrence, r.ref.Step)
	var best *worker
	var bestScore float64
	for _, id := range l.workerIDs {
		w := l.workers[id]
		left := w.entry.Capacity.MilliCores - w.reserved.MilliCores - reservation(r.step).MilliCores
		if left < w.entry.Capacity.MilliCores/zoneMoveReserve || w.keepsRoom() {
			continue
		}
		if score, ok := ranking.rate(w); ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// runsInEvacuatedZones returns how many runs are left on the shard's workers in evacuated
// zones, by zone; nil: there are no such workers.
func (l *leaderState) runsInEvacuatedZones() map[string]int {
	if len(l.state.evacuations) == 0 {
		return nil
	}
	var left map[string]int
	for _, w := range l.workers {
		if !w.inEvacuatedZone() {
			continue
		}
		if left == nil {
			left = make(map[string]int)
		}
		left[w.entry.Zone] += len(w.runs)
	}
	return left
}

// logEmptyZones logs each evacuated zone once nothing runs on the shard's workers there.
func (l *leaderState) logEmptyZones() {
	left := l.runsInEvacuatedZones()
	maps.DeleteFunc(l.zoneMoves.empty, func(zone string, _ bool) bool { _, evacuated := left[zone]; return !evacuated })
	for _, zone := range slices.Sorted(maps.Keys(left)) {
		if left[zone] > 0 || l.zoneMoves.empty[zone] {
			continue
		}
		if l.zoneMoves.empty == nil {
			l.zoneMoves.empty = make(map[string]bool)
		}
		l.zoneMoves.empty[zone] = true
		e := l.state.evacuations[zone]
		l.state.logDecision(Decision{Part: "worker", Action: "zone empty", Subject: zone, Where: l.shard.String(), Number: uint64(e.version), Age: l.state.now - e.seenAt})
	}
}
