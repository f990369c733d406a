package jobplatform

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// JobRecord is a job that a caller submits, and what the checker has recorded of
// it.
type JobRecord struct {
	Spec         string
	TaskCounts   []int   // tasks, by step
	Dependencies [][]int // steps that must be done before, by step
	MilliCores   []int64 // thousandths of a processor per task, by step
	MaxAttempts  int     // failed runs of a task after which the job fails
	Persistent   bool    // its tasks run until the job is cancelled

	submittedAt   time.Time
	accepted      bool
	refused       bool // every submission was answered as not run
	cancelSent    bool // a caller has sent a cancel
	cancelled     bool // a cancel was acknowledged
	started       bool // a worker has started one of its tasks
	doneTasks     map[string]bool
	ackedFailures map[string]int  // failed runs whose end was acknowledged, by task
	failures      map[string]int  // failed runs, by task
	ackedDone     map[string]bool // tasks whose successful end was acknowledged
}

// activeRun is the run of a task that a worker is executing.
type activeRun struct {
	worker string
	run    uint64
}

// Checker checks what workers and callers observe against the scheduler's
// guarantees. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	jobs       map[string]*JobRecord
	activeRuns map[string]activeRun // by task
	violations []string
	starts     int             // runs that workers have started
	startWaits []time.Duration // from the submission of a job to its first start, in order of the starts
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{jobs: make(map[string]*JobRecord), activeRuns: make(map[string]activeRun)}
}

// Violations returns one line per broken guarantee, in the order of detection.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns how many runs workers have started.
func (c *Checker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// StartWaits returns the times from the submission of each started job to its first
// start, sorted.
func (c *Checker) StartWaits() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(slices.Values(c.startWaits))
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000")+" "+fmt.Sprintf(format, args...))
}

// JobSubmitted records that a caller is about to submit a job.
func (c *Checker) JobSubmitted(id string, record JobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record.doneTasks, record.ackedFailures, record.ackedDone = make(map[string]bool), make(map[string]int), make(map[string]bool)
	record.failures, record.submittedAt = make(map[string]int), time.Now()
	c.jobs[id] = &record
}

// JobAccepted records that the submission of a job was answered with success.
func (c *Checker) JobAccepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].accepted = true
}

// JobRefused records that every submission of a job was answered as not run.
func (c *Checker) JobRefused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.refused = true
	if j.started {
		c.addViolation("REFUSED: job %s was refused as not run and had started", id)
	}
}

// CancelSent records that a caller is about to cancel a job. The cancel may take
// effect without an answer.
func (c *Checker) CancelSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelSent = true
}

// CancelAcknowledged records that a cancel was acknowledged.
func (c *Checker) CancelAcknowledged(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelled = true
}

// CheckReportedState checks the state of a job that was reported to a caller. An empty state
// means that the job was reported as not existing.
func (c *Checker) CheckReportedState(id, state string, acceptedBefore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	tasks := 0
	for _, n := range j.TaskCounts {
		tasks += n
	}
	switch {
	case state == "" && acceptedBefore && !j.cancelSent:
		c.addViolation("LOST: accepted job %s was reported as not existing", id)
	case state == "completed" && len(j.doneTasks) < tasks:
		c.addViolation("INCOMPLETE: job %s was reported as completed with %d of %d tasks done", id, len(j.doneTasks), tasks)
	case state == "cancelled" && !j.cancelSent:
		c.addViolation("LOST: job %s was reported as cancelled, but no cancel was sent", id)
	case state == "failed":
		c.checkFailedJob(id, j)
	}
}

// checkFailedJob checks that a job reported as failed has a task that used up
// its attempts.
func (c *Checker) checkFailedJob(id string, j *JobRecord) {
	for _, n := range j.failures {
		if n >= j.MaxAttempts {
			return
		}
	}
	c.addViolation("LOST: job %s was reported as failed, but no task failed %d times", id, j.MaxAttempts)
}

// parseTask returns the job and the step of a task, whose name has the form
// job.0.step.index.
func parseTask(task string) (job string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}

// TaskMilliCores returns the processors that a task requests, in thousandths.
func (c *Checker) TaskMilliCores(task string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, step := parseTask(task)
	if j := c.jobs[id]; j != nil && step < len(j.MilliCores) {
		return j.MilliCores[step]
	}
	return 0
}

// RunStarted checks a run that a worker has started.
func (c *Checker) RunStarted(w *Worker, task string, run uint64, spec, checkpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, step := parseTask(task)
	j := c.jobs[id]
	switch {
	case j == nil || step >= len(j.TaskCounts) || j.Spec != spec:
		c.addViolation("UNREQUESTED: %s started on %s, but no caller submitted such a task", task, w.ID)
		return
	case j.refused:
		c.addViolation("REFUSED: %s started on %s, but its job was refused as not run", task, w.ID)
	case checkpoint != "" && !strings.HasPrefix(checkpoint, task+"@"):
		c.addViolation("UNREQUESTED: %s started on %s with checkpoint %s of another task", task, w.ID, checkpoint)
	}
	if other, ok := c.activeRuns[task]; ok {
		c.addViolation("DUPLICATE: %s run %d is active on %s and run %d starts on %s", task, other.run, other.worker, run, w.ID)
	}
	if j.ackedDone[task] {
		c.addViolation("DUPLICATE: %s run %d starts on %s after its successful end was acknowledged", task, run, w.ID)
	}
	if !j.Persistent && j.ackedFailures[task] >= j.MaxAttempts {
		c.addViolation("ATTEMPTS: %s run %d starts on %s after %d acknowledged failed runs", task, run, w.ID, j.ackedFailures[task])
	}
	for _, before := range j.Dependencies[step] {
		for i := range j.TaskCounts[before] {
			if dependency := fmt.Sprintf("%s.0.%d.%d", id, before, i); !j.doneTasks[dependency] {
				c.addViolation("DEPENDENCY: %s starts on %s before %s is done", task, w.ID, dependency)
			}
		}
	}
	c.starts++
	if !j.started {
		c.startWaits = append(c.startWaits, time.Since(j.submittedAt))
	}
	j.started = true
	c.activeRuns[task] = activeRun{w.ID, run}
}

// RunEnded records the end of a run.
func (c *Checker) RunEnded(w *Worker, task string, run uint64, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeRuns[task] == (activeRun{w.ID, run}) {
		delete(c.activeRuns, task)
	}
	id, _ := parseTask(task)
	j := c.jobs[id]
	if j == nil {
		return
	}
	switch outcome {
	case "done":
		j.doneTasks[task] = true
	case "failed":
		j.failures[task]++
	}
}

// EndAcknowledged records that the scheduler acknowledged the end of a run.
func (c *Checker) EndAcknowledged(task string, _ uint64, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _ := parseTask(task)
	j := c.jobs[id]
	if j == nil {
		return
	}
	switch outcome {
	case "done":
		j.ackedDone[task] = true
	case "failed":
		j.ackedFailures[task]++
	}
}

// Unsettled returns what has not yet converged after all faults have ended:
// accepted jobs that have not ended, persistent tasks that do not run, and tasks
// of cancelled jobs that do. jobState returns the state of a job as a caller sees
// it.
func (c *Checker) Unsettled(jobState func(id string) string) []string {
	c.mu.Lock()
	jobs := make(map[string]*JobRecord, len(c.jobs))
	for id, j := range c.jobs {
		jobs[id] = j
	}
	c.mu.Unlock()
	var unsettled []string
	for id, j := range jobs {
		c.mu.Lock()
		accepted, cancelSent, cancelled, persistent := j.accepted, j.cancelSent, j.cancelled, j.Persistent
		running, tasks := 0, 0
		for _, n := range j.TaskCounts {
			tasks += n
		}
		for task := range c.activeRuns {
			if owner, _ := parseTask(task); owner == id {
				running++
			}
		}
		c.mu.Unlock()
		switch {
		case cancelled && running > 0:
			unsettled = append(unsettled, fmt.Sprintf("job %s is cancelled, but %d of its tasks run", id, running))
		case !accepted || cancelSent:
		case persistent && running < tasks:
			unsettled = append(unsettled, fmt.Sprintf("%d of %d persistent tasks of %s run", running, tasks, id))
		case !persistent:
			if state := jobState(id); state != "completed" && state != "failed" {
				unsettled = append(unsettled, fmt.Sprintf("accepted job %s is in state %q", id, state))
			}
		}
	}
	return unsettled
}
