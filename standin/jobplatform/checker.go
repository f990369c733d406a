package jobplatform

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// JobFacts is what is known of a job that a caller has handed in or tries to.
type JobFacts struct {
	Spec     string
	Count    []int // tasks by step
	After    [][]int
	Cores    []int64 // thousandths a task, by step
	Attempts int
	Lasting  bool // its tasks run until the job is cancelled

	accepted   bool
	refused    bool // every attempt has been answered as not run
	cancelSent bool // a caller has asked for it to be cancelled
	cancelled  bool // and has had success
	started    bool
	done       map[string]bool
	failed     map[string]int // acknowledged failed runs by task
	anyFailed  map[string]int // failed runs by task
	acked      map[string]bool
}

type liveRun struct {
	worker string
	run    uint64
}

// Referee checks what workers and callers see against what the scheduler promises.
type Referee struct {
	mu         sync.Mutex
	jobs       map[string]*JobFacts
	live       map[string]liveRun // by task
	violations []string
}

// NewReferee returns a referee that has seen nothing.
func NewReferee() *Referee {
	return &Referee{jobs: make(map[string]*JobFacts), live: make(map[string]liveRun)}
}

// Violations returns the promises that were broken, in the order in which it was seen.
func (f *Referee) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

func (f *Referee) violate(format string, args ...any) {
	f.violations = append(f.violations, time.Now().Format("15:04:05.000")+" "+fmt.Sprintf(format, args...))
}

// HandIn records that a caller begins to hand a job in.
func (f *Referee) HandIn(id string, facts JobFacts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	facts.done, facts.failed, facts.acked = make(map[string]bool), make(map[string]int), make(map[string]bool)
	facts.anyFailed = make(map[string]int)
	f.jobs[id] = &facts
}

// Accepted records a success.
func (f *Referee) Accepted(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id].accepted = true
}

// Refused records that every attempt was answered as not run.
func (f *Referee) Refused(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	j.refused = true
	if j.started {
		f.violate("REFUSED: job %s was refused as not run and had started", id)
	}
}

// CancelSent records that a caller is about to ask for a job to be cancelled. The
// cancel may be performed without an answer.
func (f *Referee) CancelSent(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id].cancelSent = true
}

// Cancelled records that a cancel was acknowledged.
func (f *Referee) Cancelled(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id].cancelled = true
}

// State checks a state that was told to a caller; an empty one means that there
// is no such job.
func (f *Referee) State(id, state string, acceptedBefore bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	tasks := 0
	for _, n := range j.Count {
		tasks += n
	}
	switch {
	case state == "" && acceptedBefore && !j.cancelSent:
		f.violate("LOST: accepted job %s is said not to exist", id)
	case state == "completed" && len(j.done) < tasks:
		f.violate("MIXED: job %s is said to be completed with %d of %d tasks done", id, len(j.done), tasks)
	case state == "cancelled" && !j.cancelSent:
		f.violate("LOST: job %s is said to be cancelled, which nobody asked for", id)
	case state == "failed":
		f.checkFailed(id, j)
	}
}

func (f *Referee) checkFailed(id string, j *JobFacts) {
	for _, n := range j.anyFailed {
		if n >= j.Attempts {
			return
		}
	}
	f.violate("LOST: job %s is said to have failed, and no task failed %d times", id, j.Attempts)
}

func split(task string) (job string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}

// Cores returns the processors of a task, in thousandths.
func (f *Referee) Cores(task string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, step := split(task)
	if j := f.jobs[id]; j != nil && step < len(j.Cores) {
		return j.Cores[step]
	}
	return 0
}

// Started checks a start that a worker has taken up.
func (f *Referee) Started(w *Worker, task string, run uint64, spec, checkpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, step := split(task)
	j := f.jobs[id]
	switch {
	case j == nil || step >= len(j.Count) || j.Spec != spec:
		f.violate("UNASKED: %s started on %s, which nobody handed in like that", task, w.ID)
		return
	case j.refused:
		f.violate("REFUSED: %s started on %s, and its job was refused as not run", task, w.ID)
	case checkpoint != "" && !strings.HasPrefix(checkpoint, task+"@"):
		f.violate("UNASKED: %s started on %s with checkpoint %s", task, w.ID, checkpoint)
	}
	if other, ok := f.live[task]; ok {
		f.violate("TWICE: %s run %d runs on %s and run %d starts on %s", task, other.run, other.worker, run, w.ID)
	}
	if j.acked[task] {
		f.violate("TWICE: %s run %d starts on %s after its end was acknowledged", task, run, w.ID)
	}
	if !j.Lasting && j.failed[task] >= j.Attempts {
		f.violate("BUDGET: %s run %d starts on %s after %d failed runs", task, run, w.ID, j.failed[task])
	}
	for _, a := range j.After[step] {
		for i := range j.Count[a] {
			if before := fmt.Sprintf("%s.0.%d.%d", id, a, i); !j.done[before] {
				f.violate("ORDER: %s starts on %s before %s is done", task, w.ID, before)
			}
		}
	}
	j.started = true
	f.live[task] = liveRun{w.ID, run}
}

// Ended records the end of a run.
func (f *Referee) Ended(w *Worker, task string, run uint64, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.live[task] == (liveRun{w.ID, run}) {
		delete(f.live, task)
	}
	id, _ := split(task)
	j := f.jobs[id]
	if j == nil {
		return
	}
	switch how {
	case "done":
		j.done[task] = true
	case "failed":
		j.anyFailed[task]++
	}
}

// Acknowledged records that an end was taken note of.
func (f *Referee) Acknowledged(task string, _ uint64, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, _ := split(task)
	j := f.jobs[id]
	if j == nil {
		return
	}
	switch how {
	case "done":
		j.acked[task] = true
	case "failed":
		j.failed[task]++
	}
}

// Unsettled returns what is still owed once all faults are over: accepted jobs
// that have not ended, persistent tasks that don't run, tasks of cancelled jobs
// that do. Final tells the state of a job as a caller sees it.
func (f *Referee) Unsettled(final func(id string) string) []string {
	f.mu.Lock()
	ids := make(map[string]*JobFacts, len(f.jobs))
	for id, j := range f.jobs {
		ids[id] = j
	}
	f.mu.Unlock()
	var owed []string
	for id, j := range ids {
		f.mu.Lock()
		accepted, cancelSent, cancelled, lasting := j.accepted, j.cancelSent, j.cancelled, j.Lasting
		running, tasks := 0, 0
		for _, n := range j.Count {
			tasks += n
		}
		for task := range f.live {
			if owner, _ := split(task); owner == id {
				running++
			}
		}
		f.mu.Unlock()
		switch {
		case cancelled && running > 0:
			owed = append(owed, fmt.Sprintf("job %s is cancelled and %d of its tasks run", id, running))
		case !accepted || cancelSent:
		case lasting && running < tasks:
			owed = append(owed, fmt.Sprintf("%d of %d persistent tasks of %s run", running, tasks, id))
		case !lasting:
			if state := final(id); state != "completed" && state != "failed" {
				owed = append(owed, fmt.Sprintf("job %s is %q", id, state))
			}
		}
	}
	return owed
}
