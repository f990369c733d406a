package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// lateValue is the part of a job's value that is left after its objective.
const lateValue = 0.15

// arrival is a job of equal tasks with its declared and true run times.
type arrival struct {
	at             time.Duration
	priority       int
	tasks          int
	declared, true time.Duration
	left           int // tasks that have not started
	running        int
	doneAt         time.Duration
	refused        bool
}

const (
	replayCores      = 40
	replayPriorities = 3
	replayStep       = 20 * time.Millisecond
	replayStretch    = 2.0
	replaySlack      = time.Second
	worthless        = 3
)

func (a *arrival) objective() time.Duration {
	return time.Duration(replayStretch*float64(a.declared)) + replaySlack
}

// value returns what the job has earned, in core-seconds: work done in time counts in full.
func (a *arrival) value() float64 {
	work := float64(a.tasks) * a.true.Seconds()
	allowed := time.Duration(replayStretch*float64(a.true)) + replaySlack
	switch took := a.doneAt - a.at; {
	case a.doneAt == 0 || took > worthless*allowed:
		return 0
	case took > allowed:
		return work * lateValue
	}
	return work
}

// class orders jobs that can be on time before late and worthless ones.
func (a *arrival) class(now time.Duration) int {
	switch age := now - a.at; {
	case age <= a.objective():
		return 0
	case age <= worthless*a.objective():
		return 1
	}
	return 2
}

// order tells which of two jobs of one priority and class is served first.
type order func(a, b *arrival) bool

func byDeadline(a, b *arrival) bool { return a.at+a.objective() < b.at+b.objective() }

func byWorkLeft(a, b *arrival) bool { return a.workLeft() < b.workLeft() }

// workLeft returns the declared work of the tasks that wait.
func (a *arrival) workLeft() Work { return Work(1000 * a.declared.Seconds() * float64(a.left)) }

func (a *arrival) before(b *arrival, now time.Duration, first order) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if x, y := a.class(now), b.class(now); x != y {
		return x < y
	}
	return first(a, b)
}

// load draws arrivals: a multiple of the room at each priority over a time. Declared run
// times are wrong by up to half.
func load(seed uint64, length time.Duration, shares map[int]float64) []*arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var out []*arrival
	for priority := range replayPriorities {
		work := 0.0
		for at := time.Duration(0); at < length; at += replayStep {
			for work += shares[priority] * replayCores * replayStep.Seconds(); work > 0; {
				a := &arrival{at: at, priority: priority, tasks: 1 + random.IntN(15), true: time.Duration((0.3 + 3*random.Float64()) * float64(time.Second))}
				a.declared, a.left = time.Duration((0.5+random.Float64())*float64(a.true)), a.tasks
				work -= float64(a.tasks) * a.true.Seconds()
				out = append(out, a)
			}
		}
	}
	return out
}

// replayState is the state of a replay.
type replayState struct {
	first    order
	running  []runningTask
	open     []*arrival // accepted jobs that are not done
	meters   [replayPriorities]Meter
	report   Report
	reportAt time.Duration
}

// runningTask is a task that runs on a core until its end.
type runningTask struct {
	end time.Duration
	job *arrival
}

// replay serves arrivals in order of rank on single cores. Reports are up to half a second
// old. It returns the jobs' value.
func replay(arrivals []*arrival, first order, refuse func(*arrival, []Report, time.Duration) bool) float64 {
	r := replayState{first: first}
	for now := time.Duration(0); now < 3*time.Minute; now += replayStep {
		r.endTasks(now)
		if now%(500*time.Millisecond) == 0 {
			r.writeReport(now)
		}
		for _, a := range arrivals {
			if a.at == now {
				r.report.Age = now - r.reportAt
				if a.refused = refuse(a, []Report{r.report}, now); !a.refused {
					r.open = append(r.open, a)
				}
			}
		}
		r.startTasks(now)
		r.open = slices.DeleteFunc(r.open, func(a *arrival) bool { return a.doneAt > 0 })
	}
	value := 0.0
	for _, a := range arrivals {
		value += a.value()
	}
	return value
}

// endTasks ends the tasks whose run time is over.
func (r *replayState) endTasks(now time.Duration) {
	r.running = slices.DeleteFunc(r.running, func(t runningTask) bool {
		if t.end > now {
			return false
		}
		r.meters[t.job.priority].Add(Work(1000*t.job.declared.Seconds()), now)
		if t.job.running--; t.job.running+t.job.left == 0 {
			t.job.doneAt = now
		}
		return true
	})
}

// writeReport replaces the report by the present load.
func (r *replayState) writeReport(now time.Duration) {
	r.report, r.reportAt = Report{Measured: now, RoomFree: len(r.running) < replayCores}, now
	for priority := range r.meters {
		c := Class{Priority: priority, Rate: r.meters[priority].Rate(now)}
		for _, a := range r.open {
			if a.priority != priority {
				continue
			}
			w := a.workLeft()
			c.Waiting, c.Tasks, c.Running = c.Waiting+w, c.Tasks+a.left, c.Running+int64(1000*a.running)
			if a.class(now) == 0 {
				c.OnTime[SizeOf(w)] += w
			}
		}
		r.report.Classes = append(r.report.Classes, c)
	}
}

// startTasks starts tasks on the free cores.
func (r *replayState) startTasks(now time.Duration) {
	for len(r.running) < replayCores {
		var next *arrival
		for _, a := range r.open {
			if a.left > 0 && (next == nil || a.before(next, now, r.first)) {
				next = a
			}
		}
		if next == nil {
			return
		}
		next.left--
		next.running++
		r.running = append(r.running, runningTask{now + next.true, next})
	}
}

var replayLimits = Limits{MaxAge: 3 * time.Second, MinMeasured: 6 * time.Second, MaxTasks: 100_000, MinRetry: time.Second, MaxRetry: 30 * time.Second}

func never(*arrival, []Report, time.Duration) bool { return false }

func byEstimate(a *arrival, reports []Report, _ time.Duration) bool {
	return Decide(Demand{
		Priority: a.priority, Work: Work(1000 * a.declared.Seconds() * float64(a.tasks)), CriticalPath: a.declared,
		Stretch: replayStretch, Slack: replaySlack, WorthlessFactor: worthless,
	}, reports, replayLimits).Refused()
}

// byLength refuses by the number of waiting tasks, whatever they need.
func byLength(_ *arrival, reports []Report, _ time.Duration) bool {
	waiting := 0
	for _, c := range reports[0].Classes {
		waiting += c.Tasks
	}
	return waiting > 3*replayCores
}

// TestLoads guards against refusals that cost callers value, against refusals while the
// load almost fits, and against refusals of jobs that would have earned something.
func TestLoads(t *testing.T) {
	const length = 60 * time.Second
	for name, c := range map[string]struct {
		shares  map[int]float64 // of the room, by priority
		refuses bool
	}{
		"fits":                            {map[int]float64{0: 0.3, 2: 0.5}, false},
		"a third more than the room":      {map[int]float64{0: 0.5, 2: 0.8}, false},
		"twice the room":                  {map[int]float64{0: 0.5, 2: 1.5}, false},
		"eight times the room":            {map[int]float64{0: 0.5, 2: 8}, true},
		"urgent work alone over the room": {map[int]float64{0: 1.5, 2: 1.5}, true},
	} {
		for orderName, first := range map[string]order{"by deadline": byDeadline, "by work left": byWorkLeft} {
			t.Run(name+", "+orderName, func(t *testing.T) {
				all, arrivals := load(1, length, c.shares), load(1, length, c.shares)
				valueOfAll := replay(all, first, never)
				value := replay(arrivals, first, byEstimate)
				valueByLength := replay(load(1, length, c.shares), first, byLength)
				refused, earning, urgent := 0, 0, 0
				for i, a := range arrivals {
					if !a.refused {
						continue
					}
					refused++
					if all[i].value() > 0 {
						earning++
					}
					if a.priority == 0 {
						urgent++
					}
				}
				t.Logf("core-seconds of value: %.0f if none is refused, %.0f by estimate, %.0f by queue length; %d of %d refused, %d of them would have earned", valueOfAll, value, valueByLength, refused, len(arrivals), earning)
				if value < valueOfAll {
					t.Error("refusals cost callers value")
				}
				if orderName == "by work left" && value < valueByLength {
					t.Error("a bounded queue serves callers better")
				}
				if refused > 0 != c.refuses || urgent > 0 || earning > refused/20 {
					t.Errorf("%d refused, %d of them urgent, %d would have earned", refused, urgent, earning)
				}
			})
		}
	}
}
