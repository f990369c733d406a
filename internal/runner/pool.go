// Package runner executes effects outside the control loop: a pool with
// bounded concurrency and a bounded queue, and the outbox through which
// answers reach the loop without ever blocking it.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Observer learns the outcome of each request of a runner: for metrics and the
// debug log. Step names the request, peer is the address it went to.
type Observer func(step, peer string, outcome structs.Outcome, took time.Duration, err error)

// Job is one effect with its deadline.
type Job[B any] struct {
	// Timeout counts from Submit, so that time in the queue is part of it.
	Timeout time.Duration
	// Run executes the effect and returns the one event that answers it.
	Run func(ctx context.Context) B
	// NotRun returns the event for an effect that was never begun: its outcome
	// is OutcomeNotDone.
	NotRun func() B
}

// Pool runs jobs with at most a number of them at once. Up to a number of jobs
// more wait. A job that finds the queue full, or whose deadline passes while it
// waits, is answered with NotRun.
type Pool[B any] struct {
	answers *Answers[B]
	limit   int // jobs at once
	room    int // jobs that may wait

	mu      sync.Mutex
	active  int
	waiting []queued[B] // oldest first
	refused uint64
}

type queued[B any] struct {
	job      Job[B]
	deadline time.Time
}

// NewPool returns a pool that runs limit jobs at once and lets room more wait.
func NewPool[B any](answers *Answers[B], limit, room int) *Pool[B] {
	return &Pool[B]{answers: answers, limit: limit, room: room}
}

// Submit takes a job over. It never blocks.
func (p *Pool[B]) Submit(job Job[B]) {
	q := queued[B]{job: job, deadline: time.Now().Add(job.Timeout)}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.active < p.limit:
		p.active++
		go p.work(q)
	case len(p.waiting) < p.room:
		p.waiting = append(p.waiting, q)
	default:
		p.refused++
		p.answers.Later(job.NotRun())
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

// work runs jobs until none waits. Goroutines exist only while there is work.
func (p *Pool[B]) work(q queued[B]) {
	for ok := true; ok; q, ok = p.next() {
		p.run(q)
	}
}

func (p *Pool[B]) run(q queued[B]) {
	if !time.Now().Before(q.deadline) {
		p.answers.Post(q.job.NotRun())
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	defer cancel()
	p.answers.Post(q.job.Run(ctx))
}

func (p *Pool[B]) next() (queued[B], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		p.active--
		p.waiting = nil // frees the array after a wave
		return queued[B]{}, false
	}
	q := p.waiting[0]
	p.waiting[0] = queued[B]{}
	p.waiting = p.waiting[1:]
	return q, true
}
