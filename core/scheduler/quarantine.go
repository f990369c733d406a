package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// minQuarantine is how long a failing worker gets no work the first time. The
	// time doubles with each further quarantine, up to maxQuarantine.
	minQuarantine = 3 * time.Second
	maxQuarantine = 20 * time.Second
	// maxFailStreak is the number of consecutive failed runs, of at least two jobs,
	// after which the worker and not the job is taken to be at fault.
	maxFailStreak = 3
	// provenTime is how long a run of a persistent task has to work to show that its
	// worker can run it. Such tasks may fail at any time; a faulty worker fails them
	// before.
	provenTime = 2 * time.Second
	// probeTime is how long one run tests a worker after a quarantine before more runs start
	// there. A faulty worker fails most runs before.
	probeTime = 2 * time.Second
	// quarantineShare is the inverse of the share of a service's workers that are
	// quarantined at a time. One worker may always be.
	quarantineShare = 4
)

// failureRecord is what the ends of runs tell of a worker.
type failureRecord struct {
	failures    []failure // that count against it, since its last success
	quarantines int       // since its last success
	stalls      int       // runs without progress since its last success
}

// failure is a failed run that counts against its worker.
type failure struct {
	job        structs.JobID
	persistent bool
}

// pauseStarts lets no task start on the worker for a duration.
func (w *worker) pauseStarts(d time.Duration) {
	w.startsPausedUntil = max(w.startsPausedUntil, w.leader.state.now+d)
	w.leader.schedule.requestPassAt(w.startsPausedUntil)
}

// quarantined reports whether the worker is in quarantine. Tasks start there only if no
// other worker could run them.
func (w *worker) quarantined() bool { return w.leader.state.now < w.quarantinedUntil }

// probed reports whether a run tests the worker after a quarantine. Until it has ended with
// success, or has gone on for probeTime, no other task starts there.
func (w *worker) probed() bool {
	if w.record.quarantines == 0 || w.quarantined() {
		return false
	}
	now := w.leader.state.now
	for _, r := range w.runs {
		if r.startSentAt >= w.quarantinedUntil && now-r.startSentAt < probeTime {
			return true
		}
	}
	return false
}

// recordSuccess resets the failure record after a successful run.
func (w *worker) recordSuccess() { w.record = failureRecord{} }

// recordWorking is called for each run that the worker lists. A persistent task never
// ends with success; one that has worked for provenTime clears the worker of the failures
// of such tasks.
func (w *worker) recordWorking(r *run) {
	if r.proven || r.readySince == 0 || w.leader.state.now-r.readySince < provenTime {
		return
	}
	r.proven = true
	w.record.failures = slices.DeleteFunc(w.record.failures, func(f failure) bool { return f.persistent })
	if len(w.record.failures) == 0 {
		w.record.quarantines = 0
	}
}

// recordFailure records a failed run; known is nil if this leader does not know it. A
// worker on which several jobs fail is quarantined, and so is one that fails the run that
// tests it after a quarantine. Runs that fail during a quarantine were started before it, and
// add nothing to what led to it.
func (w *worker) recordFailure(j *job, ref structs.TaskRef, known *run) {
	persistent := j.Steps[ref.Step].Persistent
	if w.quarantined() || persistent && (known == nil || known.proven) {
		return
	}
	rec := &w.record
	if rec.quarantines > 0 && known != nil && known.startSentAt >= w.quarantinedUntil {
		w.quarantine("failed again after its isolation")
		return
	}
	rec.failures = append(rec.failures, failure{j.ID, persistent})
	ofOther := func(f failure) bool { return f.job != j.ID }
	if len(rec.failures) >= maxFailStreak && slices.ContainsFunc(rec.failures, ofOther) {
		w.quarantine("several jobs failed on it")
	}
}

// quarantine keeps tasks from the worker for the time of a quarantine, unless as many
// workers of its service are in quarantine as may be.
func (w *worker) quarantine(reason string) {
	if w.quarantined() {
		return
	}
	w.record.failures = nil
	if !w.mayBeQuarantined() {
		w.leader.state.logDecision(Decision{Part: "worker", Action: "not isolated", Subject: string(w.id), Reason: reason + ", but as many workers are isolated as may be"})
		return
	}
	d := min(minQuarantine<<min(w.record.quarantines, 4), maxQuarantine)
	w.record.quarantines++
	w.quarantinedUntil = w.leader.state.now + d
	w.leader.schedule.requestPassAt(w.quarantinedUntil)
	w.leader.state.logDecision(Decision{Part: "worker", Action: "isolated", Subject: string(w.id), Reason: reason, Age: d})
}

// mayBeQuarantined reports whether one more worker of the service may be in quarantine.
func (w *worker) mayBeQuarantined() bool {
	workers, quarantined := 0, 0
	for _, o := range w.leader.workers {
		if o.entry.Service != w.entry.Service || !o.listed {
			continue
		}
		workers++
		if o.quarantined() {
			quarantined++
		}
	}
	return quarantined < max(workers/quarantineShare, 1)
}
