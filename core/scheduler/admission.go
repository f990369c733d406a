package scheduler

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/admission"
	"github.com/tamarackstep/tamarackstep/core/ordering"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// rateWarmUp is how long a leader measures the rate of work before it counts.
	rateWarmUp = 6 * time.Second
	// maxWaitingTasks bounds the tasks that wait in one shard, so that its leader and the
	// next one have memory for them.
	maxWaitingTasks = 100_000
	// minRefusalRetry and maxRefusalRetry bound the delay before a refused job is sent again.
	minRefusalRetry = time.Second
	maxRefusalRetry = 30 * time.Second
	// quietStoreTime is how long calls to the store have to succeed before a job is refused:
	// an earlier submission of it that had no answer may still be performed.
	quietStoreTime = 5 * time.Second
)

// admissionState holds the buffers of the decisions, which are reused.
type admissionState struct {
	reports []admission.Report
	classes []admission.Class
}

// admitNew calls accept with a new job, unless the job is refused. A job that is stored
// already is confirmed instead, since its caller submits it again.
func (s *State) admitNew(r *request, job *structs.Job, accept func()) {
	d := s.decideAdmission(job)
	if !d.Refused() || s.requests.hasOther(r) {
		accept()
		return
	}
	s.readRow(r, TableJobs, jobPartition(job.ID), string(job.ID), func(got RowsRead) {
		switch {
		case got.Outcome != structs.OutcomeDone:
			accept() // the commit tells whether the job is stored
		case len(got.Rows) > 0:
			s.answer(r, Answer{Status: AnswerOK})
		default:
			s.refuseNew(r, job, d)
		}
	})
}

// hasOther reports whether an earlier request for the same job is in progress, which may be
// a submission that the store still performs.
func (rs *requestState) hasOther(r *request) bool {
	for _, other := range rs.open {
		if other != r && other.job == r.job {
			return true
		}
	}
	return false
}

// refuseNew refuses a job that is not stored.
func (s *State) refuseNew(r *request, job *structs.Job, d admission.Decision) {
	s.logDecision(Decision{
		Part: "request", Action: "not admitted", Subject: string(job.ID), Where: job.Queue, Number: s.config.current.Number, Age: d.Age,
		Reason: fmt.Sprintf("%v: %d core-seconds ahead, done after %.1f s, without value after %.1f s", d.Reason, d.Ahead/admission.CoreSecond, d.Completion.Seconds(), d.Limit.Seconds()),
	})
	s.answer(r, Answer{Status: AnswerNotRun, Reason: d.Reason.String(), RetryAfter: d.RetryAfter})
}

// decideAdmission decides on a new job by the loads that the host knows.
func (s *State) decideAdmission(job *structs.Job) admission.Decision {
	demand, limits, applies := s.admissionInputs(job)
	if !applies {
		return admission.Decision{}
	}
	const draws = 1 << 16
	limits.RandomFactor = float64(s.draw()%draws) / draws
	return admission.Decide(demand, s.admission.reports, limits)
}

// admissionInputs returns what the decision on a new job depends on, without a random factor, and
// gathers the reports. It reports whether a job like it may be refused at all.
func (s *State) admissionInputs(job *structs.Job) (demand admission.Demand, limits admission.Limits, applies bool) {
	policy := s.config.policyOf(job)
	mostUrgent, mayRefuse := s.config.mayRefuse(policy)
	if !mayRefuse || job.Repeat != nil || job.Persistent() || !s.storeQuiet() || !s.gatherReports(job, policy.Service) {
		return demand, limits, false
	}
	path := declaredCriticalPath(job.Steps)
	if path == 0 {
		return demand, limits, false // it declares no run times
	}
	demand = admission.Demand{
		Priority: policy.Priority, CriticalPath: path, Stretch: policy.Stretch, Slack: policy.Slack, WorthlessFactor: ordering.WorthlessFactor,
	}
	for i := range job.Steps {
		demand.Work += declaredTaskWork(&job.Steps[i]) * admission.Work(job.Steps[i].Count)
	}
	return demand, admission.Limits{
		MaxAge: maxLoadAge, MinMeasured: rateWarmUp, MaxTasks: maxWaitingTasks, MostUrgent: mostUrgent,
		MinRetry: minRefusalRetry, MaxRetry: maxRefusalRetry,
	}, true
}

// mayRefuse reports whether jobs of a queue may be refused: it has a completion objective and
// shares its service with a queue of another priority. It returns the most urgent priority of
// the service.
func (c *configState) mayRefuse(policy *structs.Policy) (mostUrgent int, refuses bool) {
	mostUrgent = policy.Priority
	for i := range c.current.Queues {
		other := &c.current.Queues[i].Policy
		if other.Service != policy.Service || other.Priority == policy.Priority {
			continue
		}
		refuses = policy.Stretch > 0 || policy.Slack > 0
		mostUrgent = min(mostUrgent, other.Priority)
	}
	return mostUrgent, refuses
}

// storeQuiet reports whether the host's calls to the store have succeeded for some time.
func (s *State) storeQuiet() bool {
	return s.now >= quietStoreTime && !s.store.failing && (s.store.lastFailure == 0 || s.now-s.store.lastFailure > quietStoreTime)
}

// gatherReports collects the reports of the shards with workers of a service, or returns
// false if the load of a shard is not known.
func (s *State) gatherReports(job *structs.Job, service string) bool {
	v, a := &s.shards, &s.admission
	a.reports, a.classes = a.reports[:0], a.classes[:0]
	for id := range ShardID(v.count()) {
		row, ok := v.loads[id]
		if !ok || row.AtMS == 0 {
			return false
		}
		load, ok := row.Services[service]
		if !ok {
			continue
		}
		from := len(a.classes)
		for i := range load.Backlog {
			a.classes = append(a.classes, load.Backlog[i].class())
		}
		a.reports = append(a.reports, admission.Report{
			Age: v.age(row, s.now), Measured: time.Duration(row.MeasuredMS) * time.Millisecond,
			RoomFree: load.hasRoomFor(job), Classes: a.classes[from:],
		})
	}
	return true
}

// hasRoomFor reports whether little work waits for the room of the service, or a first task
// of a job finds room besides.
func (load *ServiceLoad) hasRoomFor(job *structs.Job) bool {
	if len(load.Backlog) == 0 {
		return true
	}
	first := &job.Steps[0]
	return load.roomFor(first, 1) >= 0 || !first.BestEffort && load.freeSlots(first) > 0
}
