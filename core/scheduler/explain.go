package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/admission"
	"github.com/tamarackstep/tamarackstep/core/ordering"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// maxExplainedSteps bounds the steps of one explanation: each is checked against all workers,
// which holds up the control loop as a part of a pass does.
const maxExplainedSteps = 8

// Verdict is what would happen to a job if it were submitted now.
type Verdict string

// The verdicts.
const (
	VerdictStarts   Verdict = "starts"   // a task finds room
	VerdictWaits    Verdict = "waits"    // no task can start
	VerdictDepends  Verdict = "depends"  // on the shard that is drawn
	VerdictAccepted Verdict = "accepted" // other hosts decide whether tasks start
	VerdictRefused  Verdict = "refused"  // as not run; it may be submitted later
)

// Explanation tells where a job would go if it were submitted now. It is as old as its ages tell.
type Explanation struct {
	Verdict       Verdict `json:"verdict"`
	Reason        string  `json:"reason"`
	RetryAfterMS  int64   `json:"retry_after_ms,omitempty"` // of a refused job, without the random part
	Host          string  `json:"host"`                     // that explains
	Queue         string  `json:"queue,omitempty"`
	Service       string  `json:"service,omitempty"`
	Priority      int     `json:"priority"`
	Configuration uint64  `json:"configuration"` // its number

	Admission AdmissionExplanation `json:"admission"`
	// LoadsAgeMS is the time since the host read the loads of the shards; -1: it has not. A host
	// reads them again for a submission if that is longer than 150 ms ago.
	LoadsAgeMS int64              `json:"loads_age_ms"`
	Shards     []ShardExplanation `json:"shards,omitempty"` // of which one is chosen
}

// AdmissionExplanation is the decision whether a job is refused for lack of room.
type AdmissionExplanation struct {
	Applies      bool   `json:"applies"` // a job like this one may be refused
	Reason       string `json:"reason,omitempty"`
	AheadSeconds int64  `json:"ahead_core_seconds,omitempty"`
	CompletionMS int64  `json:"completion_ms,omitempty"` // estimated age at which it would be done
	LimitMS      int64  `json:"limit_ms,omitempty"`      // age from which it has no value
	AgeMS        int64  `json:"age_ms,omitempty"`        // of the oldest report, if it is refused
}

// ShardExplanation is a shard that a job may be given to.
type ShardExplanation struct {
	Shard     ShardID               `json:"shard"`
	Leader    string                `json:"leader,omitempty"` // empty: none is known
	HasRoom   bool                  `json:"has_room"`         // for the first step, by the load
	RoomLeft  int64                 `json:"room_left"`        // in tasks, or in millicores for best-effort tasks; more is preferred
	LoadAgeMS int64                 `json:"load_age_ms"`      // -1: no load is known
	Placement *PlacementExplanation `json:"placement,omitempty"`
}

// PlacementExplanation is what the leader of a shard would do with a job.
type PlacementExplanation struct {
	Blocked       string            `json:"blocked,omitempty"` // why nothing starts now; empty: tasks start
	JobsBefore    int               `json:"jobs_before"`       // of the waiting jobs
	JobsWaiting   int               `json:"jobs_waiting"`
	Steps         []StepExplanation `json:"steps"`                 // whose turn comes first
	StepsLeftOut  int               `json:"steps_left_out"`        // further ones
	WorkersAgeMS  int64             `json:"workers_age_ms"`        // of the list of workers; -1: not read
	OperatorAgeMS int64             `json:"operator_table_age_ms"` // -1: not read
}

// StepExplanation is where tasks of one step could start.
type StepExplanation struct {
	Step       int              `json:"step"`
	Tasks      int              `json:"tasks"`
	Gang       bool             `json:"gang,omitempty"`
	GangFits   bool             `json:"gang_fits,omitempty"`
	Workers    int              `json:"workers"`  // of the service
	Excluded   []ExclusionCount `json:"excluded"` // most workers first
	Accepting  int              `json:"accepting"`
	Best       structs.WorkerID `json:"best,omitempty"`
	Score      float64          `json:"score,omitempty"`        // of the best worker
	ListsAgeMS int64            `json:"lists_age_ms,omitempty"` // age of the oldest list of an accepting worker
}

// ExclusionCount is the number of workers that one condition keeps out. A worker counts for the
// first condition that does.
type ExclusionCount struct {
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
}

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
		return out.refuse(Answer{Status: AnswerNotRun, Reason: "no configuration yet", RetryAfter: retryAfter})
	}
	q, id := s.config.queueOf(a.Host, a.Path)
	switch {
	case q == nil:
		return out.refuse(Answer{Status: AnswerNoSuchQueue, Reason: "no such queue"})
	case id != "" && !validJobID(id):
		return out.refuse(Answer{Status: AnswerInvalid, Reason: "the job ID is not 16 hexadecimal digits"})
	case a.Kind != RequestSubmit:
		return out.refuse(Answer{Status: AnswerInvalid, Reason: cmp.Or(a.InvalidReason, "not a submission")})
	}
	e.Queue, e.Service, e.Priority = q.Name, q.Policy.Service, q.Policy.Priority
	job := a.Job
	job.ID = structs.JobID(cmp.Or(id, strings.Repeat("0", jobIDDigits)))
	job.Queue, job.Policy, job.SubmittedMS = q.Name, q.Policy, s.wall
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
	demand, limits, applies := s.admissionOf(job)
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
	rank := ordering.RankOf(l.describeForOrder(j, now), l.order.usualChain())
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
		excluded := f.exclusion(w)
		score := 0.0
		if excluded == notExcluded {
			var tolerated bool
			if score, tolerated = l.score(w, j, step, image); !tolerated {
				excluded = excludedDisturbance
			}
		}
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
	x.Accepting = counts[notExcluded]
	x.GangFits = step.Gang && members >= step.Count
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
	return x
}

// membersWithRoom returns how many members of a gang packGang could place on a worker that takes
// one. Members are alike, so that a gang fits if as many find room; packGang itself would take
// long for a large one.
func (w *worker) membersWithRoom(step *structs.Step) int {
	need, n := reservation(step), int64(step.Count)
	if step.PerWorker > 0 {
		n = min(n, int64(step.PerWorker))
	}
	for _, r := range [][3]int64{
		{w.entry.Capacity.MilliCores, w.reserved.MilliCores, need.MilliCores},
		{w.entry.Capacity.MemoryMB, w.reserved.MemoryMB, need.MemoryMB},
		{w.entry.Capacity.Accelerators, w.reserved.Accelerators, need.Accelerators},
	} {
		if capacity, reserved, each := r[0], r[1], r[2]; each > 0 {
			n = min(n, (capacity-reserved)/each)
		}
	}
	return int(n)
}

// viewAgeMS returns how old the view of a watch is, or -1.
func (s *State) viewAgeMS(key watchKey) int64 {
	view := s.viewOf(key)
	if !view.complete {
		return -1
	}
	return (s.now - view.asOf).Milliseconds()
}

// starts reports whether a task of the job starts now, as far as the leader can tell.
func (p *PlacementExplanation) starts() bool {
	return p.Blocked == "" && slices.ContainsFunc(p.Steps, func(x StepExplanation) bool { return x.canStart() })
}

func (x *StepExplanation) canStart() bool { return x.Accepting > 0 && (!x.Gang || x.GangFits) }

// excludedBy returns how many workers one condition keeps out.
func (x *StepExplanation) excludedBy(e exclusion) int {
	for _, c := range x.Excluded {
		if c.Reason == e.String() {
			return c.Workers
		}
	}
	return 0
}

// waitReason returns why no task of the job starts.
func (p *PlacementExplanation) waitReason() string {
	if p.Blocked != "" || len(p.Steps) == 0 {
		return p.Blocked
	}
	x := p.Steps[0]
	switch {
	case x.Workers == 0:
		return "no worker of the service"
	case x.Accepting > 0:
		return "the gang finds no room at once"
	case x.excludedBy(excludedNoAdvice) > 0:
		return fmt.Sprintf("the advice service is asked first; %d workers have room", x.excludedBy(excludedNoAdvice))
	}
	return fmt.Sprintf("no worker takes a task of step %d; most often a worker %s", x.Step, x.Excluded[0].Reason)
}

// SumUp sets the verdict on a job that is accepted from what the shards would do with it. The
// placements may come from the explanations of several hosts.
func (e *Explanation) SumUp() { e.Verdict, e.Reason = e.verdict() }

func (e *Explanation) verdict() (Verdict, string) {
	starts, waits, reason := 0, 0, ""
	for i := range e.Shards {
		x := &e.Shards[i]
		switch {
		case x.Placement != nil && x.Placement.starts():
			starts++
		case x.Placement != nil:
			waits++
			reason = cmp.Or(reason, x.Placement.waitReason())
		case x.Leader == "":
			waits++
			reason = cmp.Or(reason, x.Shard.String()+" has no leader")
		}
	}
	switch {
	case starts+waits < len(e.Shards):
		return VerdictAccepted, "other hosts lead shards that may get it"
	case waits == 0:
		return VerdictStarts, "its first tasks find room"
	case starts == 0:
		return VerdictWaits, reason
	}
	return VerdictDepends, fmt.Sprintf("it starts in %d of %d shards; elsewhere: %s", starts, len(e.Shards), reason)
}
