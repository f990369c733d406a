package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/admission"
	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/ordering"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// maxExplainedSteps bounds the steps of one explanation: each is checked against all workers,
// which holds up the control loop as a part of a pass does.
const maxExplainedSteps = 8

// explain tells what would happen to a submission. It uses the code that decides on
// submissions and starts, but draws no random number and changes nothing.
func (s *State) explain(a *RequestArrived) Explained {
	out := Explained{Request: a.Request, Status: AnswerOK}
	e := &out.Explanation
	e.Host, e.Configuration, e.LoadsAgeMS = s.self.Host, s.config.current.Number, -1
	if s.shards.everRead {
		e.LoadsAgeMS = (s.now - s.shards.readAt).Milliseconds()
	}
	if !s.config.known() {
		return out.refuse(answerNoConfiguration)
	}
	q, id := s.config.queueOf(a.Host, a.Path)
	switch {
	case q == nil:
		return out.refuse(answerNoSuchQueue)
	case id != "" && !validJobID(id):
		return out.refuse(answerInvalidJobID)
	case a.Kind != RequestSubmit:
		return out.refuse(Answer{Status: AnswerInvalid, Reason: cmp.Or(a.InvalidReason, "not a submission")})
	}
	e.Queue, e.Service, e.Priority = q.Name, q.Policy.Service, q.Policy.Priority
	job := s.submittedJob(a, structs.JobID(cmp.Or(id, strings.Repeat("0", jobIDDigits))), q)
	if refusal := s.refusalOf(&job, a.Body); refusal.Status != AnswerOK {
		return out.refuse(refusal)
	}
	if d := s.explainAdmission(&job, &e.Admission); d.Refused() {
		return out.refuse(Answer{Status: AnswerNotRun, Reason: d.Reason.String(), RetryAfter: d.RetryAfter})
	}
	s.explainShards(&job, e)
	e.SumUp()
	return out
}

// refuse completes the explanation of a job that would be refused.
func (x Explained) refuse(a Answer) Explained {
	x.Status, x.Reason = a.Status, a.Reason
	e := &x.Explanation
	e.Verdict, e.Reason, e.RetryAfterMS = VerdictRefused, a.Reason, a.RetryAfter.Milliseconds()
	return x
}

// explainAdmission decides like decideAdmission, with the shortest time to a retry.
func (s *State) explainAdmission(job *structs.Job, out *AdmissionExplanation) admission.Decision {
	demand, limits, applies := s.admissionInputs(job)
	if !applies {
		return admission.Decision{}
	}
	d := admission.Decide(demand, s.admission.reports, limits)
	*out = AdmissionExplanation{
		Applies: true, Reason: d.Reason.String(), AheadSeconds: int64(d.Ahead / admission.CoreSecond),
		CompletionMS: d.Completion.Milliseconds(), LimitMS: d.Limit.Milliseconds(), AgeMS: d.Age.Milliseconds(),
	}
	return d
}

// explainShards lists the shards of which one is chosen for a job.
func (s *State) explainShards(job *structs.Job, e *Explanation) {
	v, service := &s.shards, s.config.policyOf(job).Service
	candidates := v.candidates(job, service, s.now)
	if v.count() == 1 || len(candidates) == 0 {
		candidates = nil
		for id := range ShardID(v.count()) {
			candidates = append(candidates, id)
		}
	}
	asWaiting := newJob(*job, s.now)
	for _, id := range candidates {
		x := ShardExplanation{Shard: id, LoadAgeMS: -1}
		if load, ok := v.loads[id]; ok && load.AtMS > 0 {
			x.LoadAgeMS = v.age(load, s.now).Milliseconds()
			x.RoomLeft = v.room(id, job, service)
			x.HasRoom = x.RoomLeft >= 0 && load.hasLabels(job, true)
			if v.led(id, s.now) {
				x.Leader = load.Host
			}
		}
		if l := s.leaderOf(id); l != nil && l.leaseValid() {
			x.Leader, x.Placement = s.self.Host, l.explainPlacement(asWaiting)
		}
		e.Shards = append(e.Shards, x)
	}
}

// explainPlacement tells what the leader would do with a job that it does not have.
func (l *leaderState) explainPlacement(j *job) *PlacementExplanation {
	s := l.state
	p := &PlacementExplanation{
		Blocked: l.startsBlocked(j), WorkersAgeMS: s.viewAgeMS(watchKey{TableWorkers, l.shard}), OperatorAgeMS: s.viewAgeMS(operatorWatch),
	}
	if !l.isLoaded() {
		return p
	}
	p.JobsBefore, p.JobsWaiting = l.placeInOrder(j)
	for step := range j.Steps {
		if !j.stepReady(0, step) {
			continue
		}
		if len(p.Steps) == maxExplainedSteps {
			p.StepsLeftOut++
			continue
		}
		p.Steps = append(p.Steps, l.explainStep(j, step))
	}
	return p
}

// startsBlocked returns why no task of a job starts now, whatever room there is.
func (l *leaderState) startsBlocked(j *job) string {
	now := l.state.now
	until, limit := l.startsUntil()
	switch {
	case !l.isLoaded():
		return "the leader still reads the store"
	case now+minStartTime > until:
		return "starts pause: " + limit
	case l.starts.full() && now < l.starts.nextExpiry():
		return "the leader waits for the answers to earlier starts"
	case l.untilDueMS(j, 0) > 0:
		return fmt.Sprintf("it is due in %.1f s", float64(l.untilDueMS(j, 0))/float64(time.Second.Milliseconds()))
	}
	return ""
}

// placeInOrder returns how many waiting jobs come before a job, and how many wait.
func (l *leaderState) placeInOrder(j *job) (before, waiting int) {
	now := l.state.now
	l.waitingJobs(now)
	rank := ordering.RankOf(l.describeForOrder(j, now), l.order.lookahead)
	for _, o := range l.order.ranked {
		if cmp.Or(o.rank.Compare(rank), strings.Compare(string(o.job.ID), string(j.ID))) < 0 {
			before++
		}
	}
	return before, len(l.order.ranked)
}

// explainStep counts the workers by what keeps tasks of a step from them.
func (l *leaderState) explainStep(j *job, stepIndex int) StepExplanation {
	f := l.newStepFilter(j, stepKey{j.ID, 0, stepIndex})
	step := f.step
	x := StepExplanation{Step: stepIndex, Tasks: step.Count, Gang: step.Gang, Excluded: []ExclusionCount{}}
	image := l.imageOf(step)
	var counts [exclusionCount]int
	members := 0 // of the gang that find room
	for _, id := range l.workerIDs {
		w := l.workers[id]
		score, excluded := f.scoreOrExclusion(w, image)
		counts[excluded]++
		if excluded != notExcluded {
			continue
		}
		if step.Gang {
			members += w.membersWithRoom(step)
		}
		x.ListsAgeMS = max(x.ListsAgeMS, (l.state.now - w.syncedAt).Milliseconds())
		if x.Best == "" || score > x.Score {
			x.Best, x.Score = id, score
		}
	}
	x.GangFits = step.Gang && members >= step.Count
	x.countWorkers(&counts)
	return x
}

// scoreOrExclusion returns the score of a worker for a task of the step, or why none may be
// started there.
func (f *stepFilter) scoreOrExclusion(w *worker, image colocation.ImageID) (float64, exclusion) {
	if e := f.exclusion(w); e != notExcluded {
		return 0, e
	}
	score, tolerated := f.leader.score(w, f.job, f.step, image)
	if !tolerated {
		return 0, excludedDisturbance
	}
	return score, notExcluded
}

// countWorkers sets the numbers of workers of the service from those of each exclusion.
func (x *StepExplanation) countWorkers(counts *[exclusionCount]int) {
	x.Accepting = counts[notExcluded]
	for e, n := range counts {
		if exclusion(e) == excludedOtherService {
			continue
		}
		x.Workers += n
		if n > 0 && exclusion(e) != notExcluded {
			x.Excluded = append(x.Excluded, ExclusionCount{exclusion(e).String(), n})
		}
	}
	slices.SortStableFunc(x.Excluded, func(a, b ExclusionCount) int { return cmp.Compare(b.Workers, a.Workers) })
}

// membersWithRoom returns how many members of a gang packGang could place on a worker that takes
// one. Members are alike, so that a gang fits if as many find room; packGang itself would take
// long for a large one.
func (w *worker) membersWithRoom(step *structs.Step) int {
	n := min(step.Count, w.entry.Capacity.Sub(w.reserved).Times(reservation(step)))
	if step.PerWorker > 0 {
		n = min(n, step.PerWorker)
	}
	return n
}

// viewAgeMS returns how old the view of a watch is, or -1.
func (s *State) viewAgeMS(key watchKey) int64 {
	view := s.viewOf(key)
	if !view.complete {
		return -1
	}
	return (s.now - view.asOf).Milliseconds()
}
