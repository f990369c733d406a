package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// turns is how often the two workers of kind "b" go down and up.
	turns = 10
	// calmTime is how long there has been no disruption when the rule is judged: the 3 s for
	// which the task does not run and the 4 s before them.
	calmTime = 7 * time.Second
	// afterRun is how long after its last run a task that lasts may be down, with the 3 s.
	afterRun = 9 * time.Second
	// maxAwait bounds the wait for one start of the task.
	maxAwait = 25 * time.Second
)

// turns has one of two workers of kind "b" go down as the other one comes up, by turns. One task
// that lasts requires the kind.
func (d *drill) turns() {
	w := d.w
	pair, err := d.pairInTwoShards()
	if err != nil {
		w.log("the case cannot run: %v", err)
		d.cannotRun = true
		return
	}
	d.setKind(pair[0], "b")
	d.setKind(pair[1], "a")
	time.Sleep(4 * time.Second)
	j := d.newJob(0, &step{Count: 1, Cpu: 2000, MemMb: 512, EstimatedMs: 1000, Persistent: true, Requirements: "b"})
	if !d.r.handIn(j, jobsPrefix) {
		w.log("the job is not accepted")
		d.cannotRun = true
		return
	}
	up := 0
	d.awaitRun(pair[up], time.Now())
	for n := range turns {
		time.Sleep(time.Second)
		if d.trouble {
			down := up
			up = 1 - up
			w.log("turn %d: %s goes down, %s of kind b comes up", n+1, pair[down].id, pair[up].id)
			d.setKind(pair[up], "b")
			d.setKind(pair[down], "a")
		}
		d.awaitRun(pair[up], time.Now())
	}
	w.log("GET %s: %q", j.id, d.r.state(j, 5))
}

// setKind ends the life of a worker and starts the next one with a kind.
func (d *drill) setKind(x *worker, kind string) {
	x.crash()
	d.w.mu.Lock()
	x.labels = []string{kind, x.labels[1]}
	d.w.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	x.boot()
}

// awaitRun waits until the worker runs a task, and judges how long that takes.
func (d *drill) awaitRun(x *worker, since time.Time) {
	w := d.w
	told := false
	for ; time.Since(since) < maxAwait; time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		running := len(x.runs) > 0
		if down := time.Since(since); !running && !told && down > max(calmTime, afterRun) {
			told = true
			w.breach("LOST", "the task has not run for %.1f s, %s of kind b is up and idle", down.Seconds(), x.id)
		}
		w.mu.Unlock()
		if running {
			w.log("%s runs the task after %.1f s", x.id, time.Since(since).Seconds())
			return
		}
	}
	w.log("%s does not run the task after %.1f s", x.id, time.Since(since).Seconds())
}

// pairInTwoShards returns two workers whose racks are in different shards, by the stored plan.
func (d *drill) pairInTwoShards() ([2]*worker, error) {
	var plan struct {
		Shards int            `json:"shards"`
		Racks  map[string]int `json:"racks"`
	}
	for range 100 {
		_ = json.Unmarshal(d.w.store.value("shards", "", "plan"), &plan)
		if plan.Shards > 1 && len(plan.Racks) >= len(d.w.workers)/8 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	var pair [2]*worker
	for _, x := range d.w.workers {
		for rack, shard := range plan.Racks {
			if rack == x.labels[1] && shard < 2 && pair[shard] == nil {
				pair[shard] = x
			}
		}
	}
	if pair[0] == nil || pair[1] == nil {
		return pair, fmt.Errorf("no two shards: %d shards, %v", plan.Shards, plan.Racks)
	}
	return pair, nil
}
