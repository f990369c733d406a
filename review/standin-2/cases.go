package main

import (
	"fmt"
	"time"
)

const cores = 1000 // millicores

// runLong hands in one job of long tasks in a quiet hour. Without trouble its tasks take
// 20 s, otherwise 10 minutes.
func runLong(d *deployment, trouble bool) {
	d.start(3, 6, 32*cores)
	work := 20 * time.Second
	if trouble {
		work = 600 * time.Second
	}
	s := step{Count: 6, Cpu: 3500, MemMb: 6400, EstimatedMs: work.Milliseconds()}
	j := d.submit(batchQueue, "month-end settlement", s, taskSpec{WorkMs: work.Milliseconds()})
	if !d.await(j, "completed", 75*time.Second) {
		d.rec.log("case", "the job isn't shown as completed after 75 s")
	}
}

// runHold has small jobs come while tasks of a job that lasts wait, because the advice
// service allows only one of the workers to run them and that one is full. Without
// trouble it allows all.
func runHold(d *deployment, trouble bool) {
	if trouble {
		d.allowed = func(worker int) bool { return worker == 0 }
	}
	d.start(3, 4, 32*cores)
	lasting := step{Count: 6, Cpu: 16 * cores, MemMb: 13000, EstimatedMs: 1000, Persistent: true}
	d.submit(advisedQueue, "advised job", lasting, taskSpec{})
	d.checker.disrupt("a job that lasts has come")
	time.Sleep(5 * time.Second)
	small := step{Count: 1, Cpu: 1000, MemMb: 2000, EstimatedMs: 300}
	for i := range 10 {
		go d.submit(quickQueue, fmt.Sprintf("small %d", i), small, taskSpec{WorkMs: 300})
		time.Sleep(time.Second)
	}
	time.Sleep(finishTime + 6*time.Second)
}

// runSilence has the open connections to the workers go silent while two jobs run.
func runSilence(d *deployment, trouble bool) {
	d.start(3, 4, 32*cores)
	serving := step{Count: 4, Cpu: 6400, MemMb: 13000, EstimatedMs: 1000, Persistent: true, MayMiss: 1, AntiAffinity: 1}
	d.submit(lastingQueue, "serving job", serving, taskSpec{})
	batch := step{Count: 28, Cpu: 1000, MemMb: 1000, EstimatedMs: 60_000}
	d.submit(batchQueue, "batch", batch, taskSpec{WorkMs: 60_000})
	time.Sleep(12 * time.Second)
	if trouble {
		n := 0
		for _, w := range d.checker.workers {
			n += w.ear.silence()
		}
		d.checker.disrupt(fmt.Sprintf("%d open connections to workers go silent, new ones work", n))
	}
	time.Sleep(25 * time.Second)
}

// runFailing has tasks that last fail now and then, as they may at any time.
func runFailing(d *deployment, trouble bool) {
	d.start(3, 4, 32*cores)
	lasting := step{Count: 6, Cpu: 800, MemMb: 1600, EstimatedMs: 1000, Persistent: true}
	spec := taskSpec{}
	if trouble {
		spec.MeanFailMs = 30_000
	}
	for i := range 10 {
		d.submit(lastingQueue, fmt.Sprintf("lasting %d", i), lasting, spec)
	}
	time.Sleep(105 * time.Second)
}
