// Package runner executes effects outside the control loop: a pool with bounded
// concurrency and a bounded queue, and the outbox that passes the resulting events
// to the loop without ever blocking it.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Observer is called with the outcome of each request, for metrics and the debug
// log. Step names the request, peer is the address that it was sent to.
type Observer func(step, peer string, outcome structs.Outcome, elapsed time.Duration, err error)

// Job is one effect with its deadline.
type Job[B any] struct {
	// Timeout counts from Submit and thus includes the time in the queue.
	Timeout time.Duration
	// Run executes the effect and returns the one event that reports its outcome.
	Run func(ctx context.Context) B
	// NotRun returns the event for an effect that was never started: its outcome
	// is OutcomeNotDone.
	NotRun func() B
}

// Pool runs jobs with bounded concurrency and queues further ones up to a bound.
// The event of a job that finds the queue full, or whose deadline passes while it
// waits, is that of NotRun.
type Pool[B any] struct {
	outbox      *Outbox[B]
	concurrency int // jobs that may run at once
	queueSize   int // jobs that may wait

	mu      sync.Mutex
	active  int
	waiting []queuedJob[B] // oldest first
	refused uint64
}

type queuedJob[B any] struct {
	job      Job[B]
	deadline time.Time
}

// NewPool returns a pool that runs up to concurrency jobs at once and queues up to
// queueSize more.
func NewPool[B any](outbox *Outbox[B], concurrency, queueSize int) *Pool[B] {
	return &Pool[B]{outbox: outbox, concurrency: concurrency, queueSize: queueSize}
}

// Submit runs, queues or refuses a job. It never blocks.
func (p *Pool[B]) Submit(job Job[B]) {
	q := queuedJob[B]{job: job, deadline: time.Now().Add(job.Timeout)}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.active < p.concurrency:
		p.active++
		go p.runJobs(q)
	case len(p.waiting) < p.queueSize:
		p.waiting = append(p.waiting, q)
	default:
		p.refused++
		p.outbox.PostAsync(job.NotRun())
	}
}

// Depth returns the number of waiting jobs.
func (p *Pool[B]) Depth() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

// Refused returns how many jobs found the queue full.
func (p *Pool[B]) Refused() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// runJobs runs a job and then queued ones until none is left. Goroutines exist
// only while there are jobs.
func (p *Pool[B]) runJobs(q queuedJob[B]) {
	for ok := true; ok; q, ok = p.next() {
		p.run(q)
	}
}

func (p *Pool[B]) run(q queuedJob[B]) {
	if !time.Now().Before(q.deadline) {
		p.outbox.Post(q.job.NotRun())
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	defer cancel()
	p.outbox.Post(q.job.Run(ctx))
}

func (p *Pool[B]) next() (queuedJob[B], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		p.active--
		p.waiting = nil // frees the array after a burst of jobs
		return queuedJob[B]{}, false
	}
	q := p.waiting[0]
	p.waiting[0] = queuedJob[B]{}
	p.waiting = p.waiting[1:]
	return q, true
}
