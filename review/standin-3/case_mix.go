package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// mix plays random jobs of all kinds with the disruptions that are named.
func (d *drill) mix(disturb string, length time.Duration) {
	w := d.w
	on := func(name string) bool { return d.trouble && strings.Contains(","+disturb+",", ","+name+",") }
	var lastTrouble atomic.Int64
	note := func() { lastTrouble.Store(time.Now().UnixNano()) }
	w.calm = func() bool { return time.Since(time.Unix(0, lastTrouble.Load())) > 8*time.Second }
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	every := func(name string, gap time.Duration, do func()) {
		if !on(name) {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				time.Sleep(time.Duration(float64(gap) * (0.5 + w.rand())))
				if time.Now().After(end) {
					return
				}
				note()
				do()
				note()
			}
		}()
	}
	host := func() *host { return d.hosts[int(w.rand()*float64(len(d.hosts)))] }
	worker := func() *worker { return w.workers[int(w.rand()*float64(len(w.workers)))] }
	every("kill", 6*time.Second, func() {
		h := host()
		h.kill(w)
		time.Sleep(time.Duration(3000*w.rand()) * time.Millisecond)
		h.start(w)
	})
	every("herd", 12*time.Second, func() {
		for _, h := range d.hosts {
			h.kill(w)
		}
		time.Sleep(time.Duration(3000*w.rand()) * time.Millisecond)
		for _, h := range d.hosts {
			h.start(w)
		}
	})
	every("term", 7*time.Second, func() {
		h := host()
		h.signal(w, syscall.SIGTERM)
		time.Sleep(6 * time.Second)
		h.kill(w)
		h.mu.Lock()
		up := h.up
		h.mu.Unlock()
		if !up {
			h.start(w)
		}
	})
	every("freeze", 7*time.Second, func() {
		h := host()
		h.signal(w, syscall.SIGSTOP)
		time.Sleep(time.Duration(1000+3000*w.rand()) * time.Millisecond)
		h.signal(w, syscall.SIGCONT)
	})
	every("crash", 4*time.Second, func() {
		x := worker()
		w.log("worker %s crashes", x.id)
		x.crash()
		time.Sleep(time.Duration(200+4000*w.rand()) * time.Millisecond)
		x.boot()
		w.log("worker %s is back", x.id)
	})
	set := func(do func()) { w.mu.Lock(); do(); w.mu.Unlock() }
	every("late", 8*time.Second, func() {
		set(func() {
			for _, x := range w.workers {
				x.lateShare = 0.066
			}
		})
		time.Sleep(5 * time.Second)
		set(func() {
			for _, x := range w.workers {
				x.lateShare = 0
			}
		})
		time.Sleep(12 * time.Second)
	})
	every("lost", 8*time.Second, func() {
		set(func() {
			for _, x := range w.workers {
				x.lostShare = 0.1
			}
		})
		time.Sleep(5 * time.Second)
		set(func() {
			for _, x := range w.workers {
				x.lostShare = 0
			}
		})
	})
	every("storelost", 8*time.Second, func() {
		w.store.mu.Lock()
		w.store.lateShare, w.store.lostShare = 0.15, 0.2
		w.store.mu.Unlock()
		time.Sleep(4500 * time.Millisecond)
		w.store.mu.Lock()
		w.store.lateShare, w.store.lostShare = 0, 0
		w.store.mu.Unlock()
	})
	every("storeslow", 10*time.Second, func() {
		w.store.mu.Lock()
		w.store.slow = 240 * time.Millisecond
		w.store.mu.Unlock()
		time.Sleep(4500 * time.Millisecond)
		w.store.mu.Lock()
		w.store.slow = 0
		w.store.mu.Unlock()
	})
	every("storedown", 10*time.Second, func() {
		w.store.mu.Lock()
		w.store.down = true
		w.store.mu.Unlock()
		time.Sleep(4500 * time.Millisecond)
		w.store.mu.Lock()
		w.store.down = false
		w.store.mu.Unlock()
	})
	every("failall", 9*time.Second, func() {
		x := worker()
		set(func() { x.failAll = true })
		time.Sleep(5 * time.Second)
		set(func() { x.failAll = false })
	})
	every("drain", 6*time.Second, func() {
		x := worker()
		set(func() { x.draining = true })
		x.register()
		w.log("worker %s drains", x.id)
		time.Sleep(time.Duration(2500+3000*w.rand()) * time.Millisecond)
		x.crash()
		w.store.remove("servers", x.id)
		w.log("worker %s has left", x.id)
		time.Sleep(2 * time.Second)
		x.boot()
	})
	half := time.Now().Add(length / 2)
	every("silence", 2*time.Second, func() {
		if time.Now().Before(half) {
			w.log("connections to the store go silent: %d", d.storeListener.silence())
		}
	})
	every("silence-workers", 2*time.Second, func() {
		if time.Now().Before(half) {
			for _, l := range d.workerListeners {
				l.silence()
			}
			w.log("connections to the workers go silent")
		}
	})
	version := 1
	if on("config") {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				time.Sleep(3 * time.Second)
				version++
				d.configure(version)
			}
		}()
	}
	var all []*job
	var mu sync.Mutex
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(2000*pause*w.rand()) * time.Millisecond)
		j, queue, cancelAfter := d.randomJob(n)
		mu.Lock()
		all = append(all, j)
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok := d.r.handIn(j, queue)
			if ok && cancelAfter > 0 {
				time.Sleep(min(cancelAfter, time.Until(end)))
				d.r.cancel(j)
			}
		}()
	}
	wg.Wait()
	w.log("traffic ends")
	time.Sleep(14 * time.Second)
	shown := map[string]int{}
	for _, j := range all {
		if j.accepted.IsZero() {
			shown["not accepted"]++
			continue
		}
		s := d.r.state(j, 8)
		shown[s]++
		w.mu.Lock()
		cancelled := !j.cancelSent.IsZero()
		switch {
		case s == "completed" && !j.allDone():
			w.breach("MIXED", "job %s is shown as completed and is not", j.id)
		case s == "" || s == "gone" || s == "unreadable":
			w.breach("LOST", "job %s: %q", j.id, s)
		case s == "cancelled" && !cancelled:
			w.breach("LOST", "job %s is shown as cancelled without cause", j.id)
		case s == "failed":
			worst := 0
			for _, f := range j.fails {
				worst = max(worst, len(f))
			}
			if worst < w.attempts {
				w.breach("LOST", "job %s is shown as failed after %d failed runs", j.id, worst)
			}
		case (s == "queued" || s == "running") && !cancelled:
			w.log("SUSPECT job %s is %s, %d occurrences, steps %s", j.id, s, j.occurrences(), describe(j))
			fmt.Println("SUSPECT", j.id, s, describe(j))
		}
		w.mu.Unlock()
	}
	w.log("states %v", shown)
	fmt.Println("states", shown)
	w.mu.Lock()
	for _, x := range w.workers {
		for k, r := range x.runs {
			if x.alive && !r.job.cancelled.IsZero() && time.Since(r.job.cancelled) > 10*time.Second {
				w.breach("UNASKED", "%s run %d still runs on %s", k.task, k.run, x.id)
			}
		}
	}
	w.mu.Unlock()
	for _, h := range d.hosts {
		h.mu.Lock()
		if h.ends > 0 {
			fmt.Println("host ended by itself", h.name, h.ends, h.lastEnd)
		}
		h.mu.Unlock()
	}
}

func describe(j *job) string {
	var out []string
	for _, s := range j.Steps {
		out = append(out, fmt.Sprintf("%+v", *s))
	}
	return strings.Join(out, "; ")
}

func (d *drill) randomJob(n int) (j *job, queue string, cancelAfter time.Duration) {
	w := d.w
	between := func(a, b int) int { return a + int(w.rand()*float64(b-a+1)) }
	make := func() *step {
		ms := int64(between(100, 3000))
		s := &step{Count: between(1, 8), Cpu: int64(between(500, 4000)), MemMb: 512, EstimatedMs: ms, workMS: ms, SavesProgress: w.rand() < 0.5}
		if w.rand() < 0.15 {
			s.failing = func(_ taskRef, run uint64) bool { return run%3 == 1 }
		}
		if w.rand() < 0.3 {
			s.AntiAffinity = between(1, 2)
		}
		if w.rand() < 0.2 {
			s.Requirements = "b"
		}
		if w.rand() < 0.2 {
			s.DataRack = "r01"
		}
		if w.rand() < 0.4 {
			s.Gang, s.Count = true, between(2, 8)
			if s.Requirements != "" || s.AntiAffinity > 0 {
				s.Requirements, s.AntiAffinity = "", 0
			}
			s.SameRack = w.rand() < 0.5
		}
		return s
	}
	steps := []*step{make()}
	for i := 1; i < between(1, 3); i++ {
		s := make()
		if w.rand() < 0.7 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	j = d.newJob(n, steps...)
	queue = jobsPrefix
	switch {
	case w.rand() < 0.2:
		queue = "/low/"
	case w.advice != nil && w.rand() < 0.2 && steps[0].Requirements == "":
		queue = "/advised/"
	}
	switch {
	case w.rand() < 0.2:
		j.RepeatCount, j.IntervalMs, j.StartTimeMs = between(2, 4), int64(between(300, 2000)), time.Now().UnixMilli()+int64(between(0, 3000))
	case w.rand() < 0.12:
		j.Steps = steps[:1]
		steps[0].Persistent, steps[0].Gang, steps[0].SavesProgress, steps[0].failing = true, false, false, nil
		steps[0].Cpu = 1500
		cancelAfter = time.Duration(between(3000, 15000)) * time.Millisecond
	case w.rand() < 0.1:
		cancelAfter = time.Duration(between(0, 3000)) * time.Millisecond
	}
	return j, queue, cancelAfter
}
