package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

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
