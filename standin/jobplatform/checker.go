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
	TaskCounts   []int    // tasks, by step
	Dependencies [][]int  // steps that must be done before, by step
	MilliCores   []int64  // thousandths of a processor per task, by step
	MaxAttempts  int      // failed runs of a task after which the job fails
	Persistent   bool     // its tasks run until the job is cancelled
	Labels       []string // that workers must have, by step; nil or empty: any worker
	PerWorker    []int    // most tasks on one worker, by step; nil or 0: any number

	submittedAt time.Time
	accepted    bool
	refused     bool // every submission was answered as not run
	cancelSent  bool // a caller has sent a cancel
	cancelled   bool // a cancel was acknowledged
	started     bool // a worker has started one of its tasks
	tasks       map[string]*taskHistory
}

// task returns the history of a task of the job.
func (j *JobRecord) task(name string) *taskHistory {
	h := j.tasks[name]
	if h == nil {
		h = &taskHistory{}
		j.tasks[name] = h
	}
	return h
}

// doneTasks returns how many tasks have had a successful end.
func (j *JobRecord) doneTasks() int {
	done := 0
	for _, h := range j.tasks {
		if h.count("done") > 0 {
			done++
		}
	}
	return done
}

// taskRunID identifies a run of a task on an incarnation of a worker.
type taskRunID struct {
	worker      string
	incarnation int
	run         uint64
}

// taskEnd is the end of a run.
type taskEnd struct {
	id      taskRunID
	outcome string
	acked   bool
}

// taskStart is the start of a run.
type taskStart struct {
	id         taskRunID
	endsBefore int  // ends of the task before it
	judged     bool // a violation by the ends before it was reported
}

// taskHistory is what workers have seen of a task.
type taskHistory struct {
	active []taskRunID // that workers are executing
	ends   []taskEnd   // in order
	starts []taskStart // in order
}

// count returns how many runs have ended with an outcome.
func (h *taskHistory) count(outcome string) int { return countEnds(h.ends, outcome, false) }

func countEnds(ends []taskEnd, outcome string, onlyAcked bool) int {
	n := 0
	for _, e := range ends {
		if e.outcome == outcome && (e.acked || !onlyAcked) {
			n++
		}
	}
	return n
}

// Checker checks what workers and callers observe against the scheduler's
// guarantees. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	jobs       map[string]*JobRecord
	used       map[string]int64     // thousandths of a processor that active runs request, by worker
	closedFrom map[string]time.Time // from when no run may start in an evacuated zone, by zone
	violations []string
	starts     int             // runs that workers have started
	startWaits []time.Duration // from the submission of a job to its first start, in order of the starts
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{jobs: make(map[string]*JobRecord), used: make(map[string]int64), closedFrom: make(map[string]time.Time)}
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
	record.tasks, record.submittedAt = make(map[string]*taskHistory), time.Now()
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

// CheckUnknownJob checks the state that was reported for a job that no caller submitted. An
// empty state means that it was reported as not existing.
func (c *Checker) CheckUnknownJob(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != "" {
		c.addViolation("UNREQUESTED: job %s was reported as %s, but no caller submitted it", id, state)
	}
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
	case state == "completed" && j.doneTasks() < tasks:
		c.addViolation("INCOMPLETE: job %s was reported as completed with %d of %d tasks done", id, j.doneTasks(), tasks)
	case state == "cancelled" && !j.cancelSent:
		c.addViolation("LOST: job %s was reported as cancelled, but no cancel was sent", id)
	case state == "failed":
		c.checkFailedJob(id, j)
	case !slices.Contains(jobStates, state):
		c.addViolation("INCOMPLETE: job %s was reported with the unreadable state %q", id, state)
	}
}

// jobStates are the states that a job is reported in. It is empty for a job that is reported
// as not existing.
var jobStates = []string{"", "queued", "running", "completed", "failed", "cancelled"}

// checkFailedJob checks that a job reported as failed has a task that used up
// its attempts.
func (c *Checker) checkFailedJob(id string, j *JobRecord) {
	for _, h := range j.tasks {
		if h.count("failed") >= j.MaxAttempts {
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

// RunStarted checks a run that a worker has started. The worker's lock is held.
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
	h := j.task(task)
	for _, other := range h.active {
		c.addViolation("DUPLICATE: %s run %d is active on %s and run %d starts on %s", task, other.run, other.worker, run, w.ID)
	}
	c.checkPlace(w, j, task, step)
	for _, before := range j.Dependencies[step] {
		for i := range j.TaskCounts[before] {
			if dependency := fmt.Sprintf("%s.0.%d.%d", id, before, i); j.task(dependency).count("done") == 0 {
				c.addViolation("DEPENDENCY: %s starts on %s before %s is done", task, w.ID, dependency)
			}
		}
	}
	c.starts++
	if !j.started {
		c.startWaits = append(c.startWaits, time.Since(j.submittedAt))
	}
	j.started = true
	started := taskRunID{w.ID, w.incarnation, run}
	h.active = append(h.active, started)
	h.starts = append(h.starts, taskStart{id: started, endsBefore: len(h.ends)})
	c.checkEndsBefore(j, task)
}

// ZoneEvacuated records that the store has accepted the request to evacuate a zone. No run may
// start there once limit has passed, until ZoneReturned.
func (c *Checker) ZoneEvacuated(zone string, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedFrom[zone] = time.Now().Add(limit)
}

// ZoneReturned records that the operator is about to end the evacuation of a zone.
func (c *Checker) ZoneReturned(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closedFrom, zone)
}

// checkPlace checks a start against the room, the labels, the zone and the other tasks of its
// worker.
func (c *Checker) checkPlace(w *Worker, j *JobRecord, task string, step int) {
	c.used[w.ID] += j.MilliCores[step]
	if c.used[w.ID] > w.MilliCores {
		c.addViolation("LIMIT: %s starts on %s, whose runs then use %d of %d", task, w.ID, c.used[w.ID], w.MilliCores)
	}
	if from, closed := c.closedFrom[w.Zone]; closed && time.Now().After(from) {
		c.addViolation("EVACUATED: %s starts on %s in zone %s", task, w.ID, w.Zone)
	}
	if step < len(j.Labels) && j.Labels[step] != "" && !slices.Contains(w.labels(), j.Labels[step]) {
		c.addViolation("ROUTE: %s starts on %s, which has no label %s", task, w.ID, j.Labels[step])
	}
	if step >= len(j.PerWorker) || j.PerWorker[step] == 0 {
		return
	}
	beside := 0
	for name, h := range j.tasks {
		if _, s := parseTask(name); s == step && slices.ContainsFunc(h.active, func(id taskRunID) bool { return id.worker == w.ID }) {
			beside++
		}
	}
	if beside >= j.PerWorker[step] {
		c.addViolation("ROUTE: %s starts on %s beside %d tasks of its step, of which %d may run there", task, w.ID, beside, j.PerWorker[step])
	}
}

// checkEndsBefore checks the starts of a task against the ends before them that have been
// acknowledged, before the start or later.
func (c *Checker) checkEndsBefore(j *JobRecord, task string) {
	h := j.task(task)
	for i := range h.starts {
		s := &h.starts[i]
		before := h.ends[:s.endsBefore]
		failures := countEnds(before, "failed", true)
		switch {
		case s.judged:
			continue
		case countEnds(before, "done", true) > 0:
			c.addViolation("DUPLICATE: %s run %d starts on %s after a successful end that was acknowledged", task, s.id.run, s.id.worker)
		case !j.Persistent && failures >= j.MaxAttempts:
			c.addViolation("ATTEMPTS: %s run %d starts on %s after %d acknowledged failed runs", task, s.id.run, s.id.worker, failures)
		default:
			continue
		}
		s.judged = true
	}
}

// RunEnded records the end of a run. The worker's lock is held.
func (c *Checker) RunEnded(w *Worker, task string, run uint64, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, step := parseTask(task)
	j := c.jobs[id]
	if j == nil || step >= len(j.MilliCores) {
		return
	}
	h, ended := j.task(task), taskRunID{w.ID, w.incarnation, run}
	if i := slices.Index(h.active, ended); i >= 0 {
		h.active = slices.Delete(h.active, i, i+1)
		c.used[w.ID] -= j.MilliCores[step]
	}
	h.ends = append(h.ends, taskEnd{id: ended, outcome: outcome})
}

// EndAcknowledged records that the scheduler acknowledged the end of a run. The worker's lock is
// held.
func (c *Checker) EndAcknowledged(w *Worker, task string, run uint64, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _ := parseTask(task)
	j := c.jobs[id]
	if j == nil {
		return
	}
	h := j.task(task)
	for i := range h.ends {
		if e := &h.ends[i]; e.id == (taskRunID{w.ID, w.incarnation, run}) && e.outcome == outcome {
			e.acked = true
		}
	}
	c.checkEndsBefore(j, task)
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
		for _, h := range j.tasks {
			running += len(h.active)
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
