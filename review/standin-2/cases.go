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
	j := d.submit(batchQueue, "month-end settlement", taskSpec{WorkMs: work.Milliseconds()}, s)
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
	d.submit(advisedQueue, "advised job", taskSpec{}, lasting)
	d.checker.disrupt("a job that lasts has come")
	time.Sleep(5 * time.Second)
	small := step{Count: 1, Cpu: 1000, MemMb: 2000, EstimatedMs: 300}
	for i := range 20 {
		go d.submit(quickQueue, fmt.Sprintf("small %d", i), taskSpec{WorkMs: 300}, small)
		time.Sleep(time.Second / 2)
	}
	time.Sleep(finishTime + 6*time.Second)
}

// runSilence has the open connections to the workers go silent while two jobs run.
func runSilence(d *deployment, trouble bool) {
	d.start(3, 4, 32*cores)
	serving := step{Count: 4, Cpu: 6400, MemMb: 13000, EstimatedMs: 1000, Persistent: true, MayMiss: 1, AntiAffinity: 1}
	d.submit(lastingQueue, "serving job", taskSpec{}, serving)
	batch := step{Count: 28, Cpu: 1000, MemMb: 1000, EstimatedMs: 60_000}
	d.submit(batchQueue, "batch", taskSpec{WorkMs: 60_000}, batch)
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
		d.submit(lastingQueue, fmt.Sprintf("lasting %d", i), spec, lasting)
	}
	time.Sleep(105 * time.Second)
}

// runRack has a rack of workers be lost for good. The deployment has 272 workers, and
// two racks with workers of kind "b", which the second steps of all jobs require.
func runRack(d *deployment, trouble bool) {
	d.kinds = map[int]string{0: "b", 1: "b"}
	d.start(3, 272, 32*cores)
	first := step{Count: 4, Cpu: 1000, MemMb: 2000, EstimatedMs: 6000}
	second := step{Count: 2, Cpu: 1000, MemMb: 2000, EstimatedMs: 6000, After: []int{0}, Requirements: "b"}
	for i := range 12 {
		go d.submit(batchQueue, fmt.Sprintf("two steps %d", i), taskSpec{WorkMs: 6000}, first, second)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, w := range d.checker.workers[:workersPerRack] {
			w.loseForGood()
		}
		d.checker.disrupt("the workers of one rack, 8 of 272, are lost for good")
	}
	time.Sleep(40 * time.Second)
}
