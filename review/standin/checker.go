package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// job is a job as a client submits it.
type job struct {
	id     string
	spec   string
	steps  []step
	host   string
	path   string
	sentAt time.Time

	accepted   time.Time // zero: no 2xx
	answers    []string
	cancelAck  time.Time // zero: no answer 2xx or 410 to a DELETE
	cancelCode int
	final      string // last final state that was shown
}

type step struct {
	Count         int    `json:"Count"`
	Cpu           int64  `json:"Cpu"`
	MemMb         int64  `json:"MemMb"`
	EstimatedMs   int64  `json:"EstimatedMs"`
	SavesProgress bool   `json:"SavesProgress,omitempty"`
	Requirements  string `json:"Requirements,omitempty"`
	Persistent    bool   `json:"Persistent,omitempty"`
}

type live struct {
	worker string
	run    uint64
}

// taskState is what the workers have seen of one task.
type taskState struct {
	running  []live
	doneAt   map[string]time.Time // by worker and run: when it ended done
	restarts map[string][]string  // by worker and run that ended done: the starts after it
	noted    map[string]bool      // by worker and run: the end has been taken note of
	done     bool
	starts   int
}

// checker sees what the workers and the clients see, and applies the rules as they are
// written in RULES.md.
type checker struct {
	rec  *record
	mu   sync.Mutex
	jobs map[string]*job
	task map[string]*taskState
	seen map[string]bool // violations already counted

	broken     []string
	startCount int
	ends       map[string]int
	startsAt   []time.Time
	running    int
	onStart    func(w *worker, j *job, st *step, o *order) // extra check of a case; may be nil
}

func newChecker(rec *record) *checker {
	return &checker{rec: rec, jobs: make(map[string]*job), task: make(map[string]*taskState), seen: make(map[string]bool), ends: make(map[string]int)}
}

func (c *checker) add(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.id] = j
}

// breaks counts one broken rule.
func (c *checker) breaks(key, format string, args ...any) {
	if c.seen[key] {
		return
	}
	c.seen[key] = true
	text := fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.rec.line("BROKEN %s", text)
}

func (c *checker) state(task string) *taskState {
	t := c.task[task]
	if t == nil {
		t = &taskState{doneAt: make(map[string]time.Time), restarts: make(map[string][]string), noted: make(map[string]bool)}
		c.task[task] = t
	}
	return t
}

// stepOf returns the job and the step of a task, whose name is ID.K.STEP.INDEX.
func (c *checker) stepOf(task string) (*job, *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	j := c.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || n < 0 || n >= len(j.steps) {
		return j, nil
	}
	return j, &j.steps[n]
}

// need returns the capacity that a task requests.
func (c *checker) need(task string) (cpu, mem int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, s := c.stepOf(task); s != nil {
		return s.Cpu, s.MemMb
	}
	return 0, 0
}

func (c *checker) started(w *worker, o *order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	c.running++
	c.startsAt = append(c.startsAt, time.Now())
	c.rec.line("%s: start %s run %d epoch %d checkpoint %q", w.id, o.Task, o.Run, o.FencingToken, o.Checkpoint)
	j, s := c.stepOf(o.Task)
	if s == nil || j.spec != o.Spec {
		c.breaks("UNASKED "+o.Task, "UNASKED: %s is told to start %s, which no client sent", w.id, o.Task)
		return
	}
	t := c.state(o.Task)
	t.starts++
	for _, r := range t.running {
		c.breaks("TWICE "+o.Task, "TWICE: %s run %d starts on %s while run %d runs on %s", o.Task, o.Run, w.id, r.run, r.worker)
	}
	for key := range t.doneAt {
		t.restarts[key] = append(t.restarts[key], fmt.Sprintf("run %d on %s", o.Run, w.id))
		c.checkTwice(o.Task, t, key)
	}
	t.running = append(t.running, live{w.id, o.Run})
	if c.onStart != nil {
		c.onStart(w, j, s, o)
	}
}

// checkTwice applies the rule of a start after a run has ended done, once that end is
// taken note of. Tasks that last are restarted however they end.
func (c *checker) checkTwice(task string, t *taskState, key string) {
	if !t.noted[key] || len(t.restarts[key]) == 0 {
		return
	}
	c.breaks("TWICE "+task, "TWICE: %s ended done (%s), the end was taken note of, and %s started after it", task, key, strings.Join(t.restarts[key], ", "))
}

func (t *taskState) removeLive(worker string, run uint64) bool {
	at := slices.Index(t.running, live{worker, run})
	if at < 0 {
		return false
	}
	t.running = slices.Delete(t.running, at, at+1)
	return true
}

func (c *checker) ended(worker, task string, run uint64, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.line("%s: end %s run %d %s", worker, task, run, how)
	t := c.state(task)
	if t.removeLive(worker, run) {
		c.running--
	}
	c.ends[how]++
	_, s := c.stepOf(task)
	if how == "done" && (s == nil || !s.Persistent) {
		t.doneAt[worker+" "+strconv.FormatUint(run, 10)] = time.Now()
		t.done = true
	}
}

// gone records that a run ended with its worker.
func (c *checker) gone(worker, task string, run uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.line("%s: crash ends %s run %d", worker, task, run)
	if c.state(task).removeLive(worker, run) {
		c.running--
	}
	c.ends["crashed"]++
}

// noted records that an end was taken note of: AckCursor has reached it, and no lease
// of the worker has lapsed between.
func (c *checker) noted(worker, task string, run uint64, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how != "done" {
		return
	}
	t := c.state(task)
	key := worker + " " + strconv.FormatUint(run, 10)
	t.noted[key] = true
	c.checkTwice(task, t, key)
}

func (c *checker) counts() (starts, running, done int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount, c.running, c.ends["done"]
}

// runningOf returns how many tasks of a job run, and how many have ended done.
func (c *checker) runningOf(j *job) (running, done int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for step := range j.steps {
		for i := range j.steps[step].Count {
			if t := c.task[fmt.Sprintf("%s.0.%d.%d", j.id, step, i)]; t != nil {
				running += len(t.running)
				if t.done {
					done++
				}
			}
		}
	}
	return running, done
}

// cpuInUse returns the CPU that running tasks request.
func (c *checker) cpuInUse() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum int64
	for name, t := range c.task {
		if _, s := c.stepOf(name); s != nil {
			sum += int64(len(t.running)) * s.Cpu
		}
	}
	return sum
}
