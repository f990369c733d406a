package main

import "time"

// silences is how often open connections to the store go silent in the case.
const silences = 4

// silent has open connections to the store go silent several times within some seconds. Then the
// store is well, and a job with many tasks is cancelled.
func (d *drill) silent() {
	w := d.w
	var last time.Time
	w.calm = func() bool { return time.Since(last) > limits.contact }
	j := d.newJob(0, &step{Count: 6000, Cpu: 4000, MemMb: 128, EstimatedMs: 1000, workMS: 1000})
	if !d.r.handIn(j, jobsPrefix) {
		w.log("the job is not accepted")
		return
	}
	time.Sleep(3 * time.Second)
	for range silences {
		if d.trouble {
			d.awaitFeed("cancels")
			time.Sleep(400 * time.Millisecond)
			n := d.storeListener.silence()
			w.mu.Lock()
			last = time.Now()
			w.mu.Unlock()
			w.log("%d open connections to the store go silent", n)
		} else {
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(time.Second)
	w.log("the job is cancelled")
	d.r.cancel(j)
	time.Sleep(14 * time.Second)
	w.log("GET %s: %q", j.id, d.r.state(j, 5))
}

// awaitFeed waits until the leader asks the store for changes of a table.
func (d *drill) awaitFeed(table string) {
	seen := d.w.store.feedCount(table)
	for d.w.store.feedCount(table) == seen {
		time.Sleep(10 * time.Millisecond)
	}
}
