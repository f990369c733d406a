package main

import (
	"math"
	"time"
)

const (
	// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running then.
	idleTime = 3 * time.Second
)

// count hands in ordinary jobs, then one job that can never be done: its second step has more
// tasks than any deployment can run. After finish_s the ordinary jobs are looked at.
func (d *drill) count() {
	w := d.w
	var ordinary []*job
	for n := range 12 {
		j := d.newJob(n, &step{Count: 4, Cpu: 1000, MemMb: 256, EstimatedMs: 6000, workMS: 6000}, &step{Count: 2, Cpu: 1000, MemMb: 256, EstimatedMs: 1000, After: []int{0}, workMS: 1000})
		if d.r.handIn(j, jobsPrefix) {
			ordinary = append(ordinary, j)
		}
	}
	if d.trouble {
		j := d.newJob(100, &step{Count: 1, Cpu: 1000, MemMb: 256, EstimatedMs: 500}, &step{Count: math.MaxInt, Cpu: 1000, MemMb: 256, EstimatedMs: 500, After: []int{0}})
		w.log("the job that cannot be done is handed in")
		w.log("accepted: %v", d.r.handIn(j, jobsPrefix))
	}
	w.log("the traffic ends")
	time.Sleep(finishTime)
	d.judgeIdle(ordinary, 2*idleTime)
	for _, j := range ordinary {
		s := d.r.state(j, 10)
		w.log("GET %s: %q", j.id, s)
		w.mu.Lock()
		if s == "" || s == "gone" || s == "unreadable" {
			w.breach("LOST", "job %s: %q", j.id, s)
		}
		w.mu.Unlock()
	}
	d.judgeEnds()
}

// judgeIdle looks at jobs for some time: none may have nothing running for idleTime while a task's
// turn has come, there is capacity for it twice over, and under half of all capacity is in use.
func (d *drill) judgeIdle(jobs []*job, length time.Duration) {
	w := d.w
	since := map[*job]time.Time{}
	told := map[*job]bool{}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		var used, capacity int64
		running := map[*job]bool{}
		for _, x := range w.workers {
			cpu, _ := x.taken()
			used, capacity = used+cpu, capacity+x.cpu
			for _, r := range x.runs {
				running[r.job] = true
			}
		}
		for _, j := range jobs {
			// A job that is not done always has a task whose turn has come. Its tasks take one core.
			if j.allDone() || running[j] || 2*used >= capacity {
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = time.Now()
			}
			if time.Since(since[j]) >= idleTime && !told[j] {
				told[j] = true
				w.breach("LOST", "job %s has had nothing running for 3 s, %d of %d mCPU are in use", j.id, used, capacity)
			}
		}
		w.mu.Unlock()
	}
}

// judgeEnds counts the processes that ended by themselves, for rule Fault.
func (d *drill) judgeEnds() {
	w := d.w
	machines := 0
	for _, h := range d.hosts {
		h.mu.Lock()
		w.log("%s ended by itself %d times, last: %s", h.name, h.ends, h.lastEnd)
		if h.ends >= 3 {
			machines++
		}
		h.mu.Unlock()
		for i, l := range h.lines("panic:") {
			if i == 0 {
				w.log("%s: %s", h.name, l)
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if machines >= 2 {
		w.breach("Fault", "on %d machines processes ended by themselves three times", machines)
	}
}
