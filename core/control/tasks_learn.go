package control

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	policyStepInterval = 1 * time.Second
	maxPastRuns        = 16                     // ended runs kept per worker, to match measurements that arrive late
	minSampleSpacing   = 100 * time.Millisecond // measurements closer together are duplicates
)

// pastRun is a run that ended recently.
type pastRun struct {
	row        string
	request    structs.Resources
	start, end Instant
}

// addPastRun keeps an ended run, so that measurements that arrive later can be
// matched to the runs that were on the worker at that time.
func (w *workerState) addPastRun(p pastRun) {
	if p.start == 0 {
		return
	}
	if len(w.pastRuns) >= maxPastRuns {
		w.pastRuns = append(w.pastRuns[:0:0], w.pastRuns[1:]...)
	}
	w.pastRuns = append(w.pastRuns, p)
}

// learnUsage processes usage samples. Each describes a past moment.
func (s *State) learnUsage(o *ownedPartition, w *workerState, usage []structs.UsageSample) {
	worst, worstAt := 0.0, Instant(0)
	for _, u := range usage {
		t := o.tasks.byID[u.Task]
		measuredAt := s.now - time.Duration(u.AgeMS)*time.Millisecond
		if t == nil || !t.isRun(RunRef{u.Task, u.Run}) || t.run.runningSince == 0 || measuredAt < t.run.runningSince ||
			measuredAt < t.run.sampledAt+minSampleSpacing {
			continue
		}
		t.run.sampledAt = measuredAt
		r := s.rowOf(o, t.row.Row)
		if t.run.share == 1 {
			r.learnedSize.Learn(u.Used, t.run.samples)
		}
		t.run.samples++
		s.learnInterference(o, w, t, u, measuredAt)
		if target := r.sheet.LatencyTargetMS; target > 0 && u.LatencyMS > 0 {
			if ratio := u.LatencyMS / float64(target); ratio > worst {
				worst, worstAt = ratio, measuredAt
			}
		}
	}
	if worst > 0 {
		w.latencyRatio = worst
		s.applyThrottleStep(o, w, w.throttle.Observe(s.now, worstAt, worst), worst)
	}
}

// learnInterference attributes a slowdown to the neighbours at the time of the
// measurement.
func (s *State) learnInterference(o *ownedPartition, w *workerState, t *task, u structs.UsageSample, measuredAt Instant) {
	slow := u.SlowFactor
	if slow == 0 {
		if u.LatencyMS == 0 {
			return
		}
		slow = s.rowOf(o, t.row.Row).baseline.SlowFactor(u.LatencyMS)
	}
	names, used := o.tasks.neighboursAt(w, t, measuredAt)
	o.tasks.interference.Learn(t.row.Row, names, policy.LoadLevel(used, w.spec.Capacity), slow)
}

// neighboursAt returns the rows of the other runs on the worker at a past moment,
// and the resources committed to all of them.
func (t *taskState) neighboursAt(w *workerState, x *task, at Instant) (names []string, used structs.Resources) {
	used = x.row.Request
	for _, c := range w.row.Commitments {
		y := t.byID[c.Task]
		if y == nil || y == x || !y.isRun(RunRef{c.Task, c.Run}) || y.run.runningSince == 0 || y.run.runningSince > at {
			continue
		}
		names, used = append(names, y.row.Row), used.Add(c.Request)
	}
	for _, p := range w.pastRuns {
		if p.start <= at && at <= p.end {
			names, used = append(names, p.row), used.Add(p.request)
		}
	}
	return names, used
}

// applyThrottleStep throttles, checkpoints or releases batch runs that share a
// worker with a service.
func (s *State) applyThrottleStep(o *ownedPartition, w *workerState, step policy.ThrottleStep, ratio float64) {
	record := DecisionRecord{Part: "worker", Subject: string(w.id), Reason: fmt.Sprintf("service latency is %.2f of its target", ratio)}
	switch step {
	case policy.ThrottleRaise, policy.ThrottleRelease:
		share := policy.ShareAt(w.throttle.Pressure)
		record.Action = fmt.Sprintf("batch gets %.0f%% of its processors", 100*share)
		s.recordDecision(record)
		s.throttleBatch(o, w, itemsPerStep) // the policy step sends the others
		s.capacityChanged(o)
	case policy.ThrottleCheckpoint:
		if t := s.mostInterferingBatch(o, w); t != nil && o.tasks.evictions.Take(s.now, 1) {
			s.evict(o, t, "slows a service down: "+record.Reason, nil)
		}
	}
}

// mostInterferingBatch returns the batch run whose eviction is worth most: the
// slowdown that it causes to the services on the worker, less the eviction cost.
func (s *State) mostInterferingBatch(o *ownedPartition, w *workerState) *task {
	level := policy.LoadLevel(w.committed, w.spec.Capacity)
	var best *task
	var bestBenefit float64
	for _, c := range w.row.Commitments {
		t := o.tasks.byID[c.Task]
		if t == nil || !t.isRun(RunRef{c.Task, c.Run}) || t.writing || t.row.Kind != structs.KindBatch ||
			t.row.Phase != structs.TaskAssigned || !t.run.running {
			continue
		}
		benefit := -policy.EvictionCost(s.victim(o, t, c.Request))
		for _, name := range w.rowNames {
			if r := o.tasks.rows[name]; r != nil && r.sheet.Kind == structs.KindService {
				benefit += policy.InterferenceWeight * o.tasks.interference.Excess(name, t.row.Row, level)
			}
		}
		if best == nil || benefit > bestBenefit {
			best, bestBenefit = t, benefit
		}
	}
	return best
}

// throttleBatch limits the batch runs on a worker to the share of processors for
// its current pressure. It returns the number of commands sent, at most limit: a
// worker may have hundreds of adopted runs, whose share is unknown.
func (s *State) throttleBatch(o *ownedPartition, w *workerState, limit int) (sent int) {
	share := policy.ShareAt(w.throttle.Pressure)
	for _, c := range w.row.Commitments {
		t := o.tasks.byID[c.Task]
		if sent == limit {
			break
		}
		if t != nil && t.isRun(RunRef{c.Task, c.Run}) && t.row.Kind == structs.KindBatch && t.run.running && s.throttleRun(o, t, w, share) {
			sent++
		}
	}
	return sent
}

// policyStep runs periodically: it repeats throttle commands whose outcome is
// unknown and clears the pressure on workers without a service that has a latency
// target. Each event sends at most itemsPerStep commands.
func (s *State) policyStep(p *partition) {
	o := p.owned
	if o == nil || !o.loaded || s.now < o.tasks.nextPolicy {
		// The timer was set before the partition was lost and acquired again.
		return
	}
	t, sent := &o.tasks, 0
	for ; t.policyCursor < len(t.workerList); t.policyCursor++ {
		w := t.workerList[t.policyCursor]
		if w.boot == "" || w.unresponsive {
			continue
		}
		if !o.tasks.hasLatencyTarget(w) && w.throttle.Reset() {
			s.recordDecision(DecisionRecord{Part: "worker", Action: "batch gets all of its processors", Subject: string(w.id), Reason: "no service with a latency target is left there"})
			s.capacityChanged(o)
		}
		sent += s.throttleBatch(o, w, itemsPerStep-sent)
		if sent == itemsPerStep {
			// The next step continues with this worker; the commands in flight are not repeated.
			s.setTimer(s.now+workStepDelay, timerPolicy, uint64(p.id))
			return
		}
	}
	t.policyCursor = 0
	t.nextPolicy = s.now + policyStepInterval
	s.setTimer(t.nextPolicy, timerPolicy, uint64(p.id))
}

// hasLatencyTarget reports whether a service with a latency target is committed
// to the worker.
func (t *taskState) hasLatencyTarget(w *workerState) bool {
	for _, name := range w.rowNames {
		if r := t.rows[name]; r != nil && r.sheet.LatencyTargetMS > 0 {
			return true
		}
	}
	return false
}
