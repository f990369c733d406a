package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the rules LOST and AVAIL in RULES.md.
const (
	idleBound    = 3 * time.Second  // a job may have nothing running for so long
	calmBefore   = 4 * time.Second  // without disruption before that
	lastingGrace = 6 * time.Second  // after the last run of a task that lasts
	finishTime   = 14 * time.Second // after the end of the traffic, for a job as a whole
	noticeTime   = 4500 * time.Millisecond
	sampleTime   = 50 * time.Millisecond
)

// step is a step of a job, as callers submit it.
type step struct {
	Count        int   `json:"Count"`
	Cpu          int64 `json:"Cpu"`
	MemMb        int64 `json:"MemMb"`
	EstimatedMs  int64 `json:"EstimatedMs"`
	AntiAffinity int   `json:"AntiAffinity,omitempty"`
	Persistent   bool  `json:"Persistent,omitempty"`
	MayMiss      int   `json:"MayMiss,omitempty"`

	After        []int  `json:"After,omitempty"`
	Requirements string `json:"Requirements,omitempty"`
}

// job is a job that a caller has submitted. All cases but one have jobs of one step.
type job struct {
	name     string // in the record
	advised  bool   // not every worker may run it, so that LOST is not judged
	id       string
	steps    []step
	spec     taskSpec
	accepted time.Time
	state    string    // as last shown to a caller
	tasks    [][]*task // by step
	idle     time.Time // since when LOST counts; zero: it does not
	broken   bool
}

type task struct {
	on       *worker // that runs it; nil: none
	since    time.Time
	done     bool
	lastEnd  time.Time
	lastHow  string
	idle     time.Time
	starts   int
	failures int
}

// checker judges the rules from what workers and callers see.
type checker struct {
	rec *recorder

	mu         sync.Mutex
	jobs       map[string]*job
	order      []*job
	workers    []*worker
	usedCpu    map[*worker]int64
	usedMem    map[*worker]int64
	dead       map[*worker]bool // lost for good
	disrupted  time.Time        // end of the last disruption
	lastHandIn time.Time        // when a job was last accepted
	violations []string
}

func newChecker(rec *recorder) *checker {
	return &checker{rec: rec, jobs: make(map[string]*job), usedCpu: make(map[*worker]int64), usedMem: make(map[*worker]int64), dead: make(map[*worker]bool)}
}

func (c *checker) add(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range j.steps {
		tasks := make([]*task, s.Count)
		for i := range tasks {
			tasks[i] = &task{}
		}
		j.tasks = append(j.tasks, tasks)
	}
	c.jobs[j.id] = j
	c.order = append(c.order, j)
}

// find returns the job, the step and the task with a name on the wire.
func (c *checker) find(name string) (*job, *step, *task) {
	parts := strings.Split(name, ".")
	j := c.jobs[parts[0]]
	if len(parts) != 4 || j == nil {
		return nil, nil, nil
	}
	at, err := strconv.Atoi(parts[2])
	if err != nil || at < 0 || at >= len(j.steps) {
		return nil, nil, nil
	}
	n, err := strconv.Atoi(parts[3])
	if err != nil || n < 0 || n >= len(j.tasks[at]) {
		return nil, nil, nil
	}
	return j, &j.steps[at], j.tasks[at][n]
}

func (c *checker) stepOf(name string) *step {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, s, _ := c.find(name)
	return s
}

// started records the start of a run; the worker's lock is held.
func (c *checker) started(w *worker, r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, s, t := c.find(r.task)
	c.rec.log("worker", "%s starts %s run %d (%s)", w.id, r.task, r.number, j.name)
	if t.on != nil {
		c.breakRule("TWICE: %s runs on %s and %s", r.task, t.on.id, w.id)
	}
	if t.done && !s.Persistent {
		c.breakRule("TWICE: %s is started after it was done", r.task)
	}
	t.on, t.since = w, r.started
	t.starts++
	c.usedCpu[w] += r.step.Cpu
	c.usedMem[w] += r.step.MemMb
}

// ended records the end of a run; the worker's lock is held.
func (c *checker) ended(w *worker, r *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, s, t := c.find(r.task)
	c.rec.log("worker", "%s ends %s run %d: %s at %d percent (%s)", w.id, r.task, r.number, how, r.percent(), j.name)
	c.usedCpu[w] -= r.step.Cpu
	c.usedMem[w] -= r.step.MemMb
	if how == "lapsed" && s.MayMiss > 0 && r.percent() == 100 && c.calm(time.Now()) {
		if away := j.away(t); away >= s.MayMiss {
			c.breakRule("AVAIL: the lease of %s lapses at work on a sound worker, while %d others of its step are away (MayMiss %d)", r.task, away, s.MayMiss)
		}
	}
	t.on, t.lastEnd, t.lastHow = nil, time.Now(), how
	t.done = t.done || how == "done"
	if how == "failed" {
		t.failures++
	}
}

// lost records that a worker is lost for good.
func (c *checker) lost(w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead[w] = true
	c.rec.log("worker", "%s (%s, %s) is lost for good", w.id, w.kind, w.rack)
}

// away returns how many other tasks of the first step are away: ended by an order or a lapse, or not at
// work for the time of the notice.
func (j *job) away(except *task) int {
	n := 0
	for _, t := range j.tasks[0] {
		atWork := t.on != nil && time.Since(t.since) >= startupTime
		switch {
		case t == except || atWork:
		case t.lastHow == "stopped" || t.lastHow == "lapsed", time.Since(t.lastEnd) >= noticeTime:
			n++
		}
	}
	return n
}

// calm reports whether no disruption was near before an instant.
func (c *checker) calm(at time.Time) bool {
	return c.disrupted.IsZero() || at.Sub(c.disrupted) >= calmBefore
}

// disrupt records a disruption that ends now.
func (c *checker) disrupt(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disrupted = time.Now()
	c.rec.log("trouble", "%s", what)
}

func (c *checker) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.rec.log("BROKEN", "%s", text)
}

// watch samples the jobs until the process ends.
func (c *checker) watch() {
	for range time.Tick(sampleTime) {
		c.sample()
	}
}

func (c *checker) sample() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	half := c.halfIdle()
	for _, j := range c.order {
		if j.accepted.IsZero() || j.advised {
			continue
		}
		c.sampleJob(j, now, half)
		if j.steps[0].Persistent {
			c.sampleLasting(j, now, half)
		}
	}
}

// sampleJob applies LOST to a job as a whole, from the end of the traffic on: it has nothing
// running while a task's turn has come, with room for it twice over.
func (c *checker) sampleJob(j *job, now time.Time, half bool) {
	waiting, running, room := 0, 0, true
	for i, tasks := range j.tasks {
		due := 0
		for _, t := range tasks {
			switch {
			case t.on != nil:
				running++
			case !t.done && j.turn(i):
				due++
			}
		}
		waiting += due
		room = room && (due == 0 || c.room(&j.steps[i]) >= 2*due)
	}
	idle := running == 0 && waiting > 0 && half && room && now.Sub(c.lastHandIn) >= finishTime
	if since, lost := c.track(&j.idle, idle, now); lost && !j.broken {
		j.broken = true
		c.breakRule("LOST: job %s (%s) has had nothing running since %.3f, with room for its %d tasks twice over", j.id, j.name, since.Sub(c.rec.start).Seconds(), waiting)
	}
}

// turn reports whether all tasks of the steps before a step are done.
func (j *job) turn(at int) bool {
	for _, before := range j.steps[at].After {
		for _, t := range j.tasks[before] {
			if !t.done {
				return false
			}
		}
	}
	return true
}

// sampleLasting applies LOST to each task that lasts, at any time. The rule counts it
// however full the service is; this check leaves out full ones.
func (c *checker) sampleLasting(j *job, now time.Time, half bool) {
	room := c.room(&j.steps[0]) >= 2
	for i, t := range j.tasks[0] {
		idle := t.on == nil && t.starts > 0 && now.Sub(t.lastEnd) >= lastingGrace && half && room
		if _, lost := c.track(&t.idle, idle, now); lost && !j.broken {
			j.broken = true
			c.breakRule("LOST: task %d of job %s (%s) lasts and hasn't run for %.1f s, with room for it", i, j.id, j.name, now.Sub(t.lastEnd).Seconds())
		}
	}
}

// track keeps since when a condition holds, and reports whether it has held for the
// bound without a disruption then or shortly before.
func (c *checker) track(since *time.Time, holds bool, now time.Time) (time.Time, bool) {
	if !holds || !c.calm(now) {
		*since = time.Time{}
		return *since, false
	}
	if since.IsZero() {
		*since = now
	}
	return *since, now.Sub(*since) >= idleBound
}

// halfIdle reports whether under half of the service's capacity is in use.
func (c *checker) halfIdle() bool {
	var used, all int64
	for _, w := range c.workers {
		if !c.dead[w] {
			used, all = used+c.usedCpu[w], all+w.cpu
		}
	}
	return 2*used < all
}

// room returns how many tasks of a step fit on the workers.
func (c *checker) room(s *step) int {
	n := 0
	for _, w := range c.workers {
		if c.dead[w] || s.Requirements != "" && s.Requirements != w.kind {
			continue
		}
		fits := min((w.cpu-c.usedCpu[w])/s.Cpu, (w.memMb-c.usedMem[w])/s.MemMb)
		if s.AntiAffinity > 0 {
			fits = min(fits, int64(s.AntiAffinity))
		}
		n += int(max(fits, 0))
	}
	return n
}

// verdict prints the result and returns the exit status.
func (c *checker) verdict() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.order {
		starts, failures, done, all := 0, 0, 0, slices.Concat(j.tasks...)
		for _, t := range all {
			starts, failures = starts+t.starts, failures+t.failures
			if t.done {
				done++
			}
		}
		c.rec.log("job", "%s (%s): %d tasks, %d starts, %d failed, %d done, last shown as %q", j.id, j.name, len(all), starts, failures, done, j.state)
	}
	if len(c.violations) == 0 {
		c.rec.log("verdict", "all rules held")
		fmt.Println("all rules held")
		return exitHeld
	}
	c.rec.log("verdict", "%d violations", len(c.violations))
	for _, v := range c.violations[:min(len(c.violations), 5)] {
		fmt.Println(v)
	}
	return exitBroken
}
