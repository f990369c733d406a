package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// adviceBatch bounds the workers that one question names: the answer takes
	// longer for each of them, and other steps wait for it.
	maxAdviceWorkers = 30
	// adviceSlack bounds a question beyond the time that its answer takes.
	adviceTimeoutSlack = time.Second
	// adviceRetry is the pause after a question without an answer.
	adviceRetryDelay = 200 * time.Millisecond
	// ticketMargin is kept of a ticket's time for the start order to arrive.
	ticketMargin = 200 * time.Millisecond
)

// adviceState holds which workers may run the steps of queues that need advice.
// One question is asked at a time, since the advice service answers the questions
// of one host one after another.
type adviceState struct {
	steps           map[stepKey]*stepAdvice
	requestInFlight bool
	retryAt         Instant // no question before this time
}

// stepKey names a step of one occurrence of a job.
type stepKey struct {
	job              structs.JobID
	occurrence, step int
}

// stepAdvice is what is known of one step. Whether a worker may run it does not
// change; a ticket holds for one life of the worker and for some time.
type stepAdvice struct {
	denied  map[structs.WorkerID]bool
	tickets map[structs.WorkerID]ticket
}

type ticket struct {
	token       string
	incarnation int64
	validUntil  Instant
}

func stepKeyOf(ref structs.TaskRef) stepKey { return stepKey{ref.Job, ref.Occurrence, ref.Step} }

// ticketFor returns the ticket with which a step may be started on a worker, and
// whether it may be. Queues without advice need no ticket.
func (l *leaderState) ticketFor(w *worker, key stepKey, policy *structs.Policy) (string, bool) {
	if policy.Advice == nil {
		return "", true
	}
	a := l.advice.steps[key]
	if a == nil {
		return "", false
	}
	t, ok := a.tickets[w.id]
	return t.token, ok && t.incarnation == w.incarnation && l.state.now+ticketMargin < t.validUntil
}

// askAdvice asks which of the best workers for a step may run it.
func (l *leaderState) askAdvice(j *job, key stepKey) {
	step, policy := &j.Steps[key.step], l.state.config.policyOf(&j.Job)
	if policy.Advice == nil || l.advice.requestInFlight {
		return // the next pass asks
	}
	if l.state.now < l.advice.retryAt {
		l.schedule.requestPassAt(l.advice.retryAt)
		return
	}
	workers := l.adviceCandidates(j, key, step, policy)
	if len(workers) == 0 {
		return
	}
	l.advice.requestInFlight = true
	e := AskAdvice{Job: key.job, Occurrence: key.occurrence, Step: key.step, Workers: workers}
	e.Timeout = policy.Advice.Decide + time.Duration(len(workers))*policy.Advice.PerWorker + adviceTimeoutSlack
	e.ID = l.state.expectOutcome(func(body EventBody) {
		if !l.steppedDown {
			l.adviceReceived(key, workers, policy.Advice.Valid, body.(Advised))
		}
	})
	l.state.emit(e)
}

// worthAsking returns the best workers with room for a task of a step of which
// it is not known whether they may run it.
func (l *leaderState) adviceCandidates(j *job, key stepKey, step *structs.Step, policy *structs.Policy) []structs.WorkerID {
	type scored struct {
		id    structs.WorkerID
		score float64
	}
	var candidates []scored
	known := l.advice.steps[key]
	image := l.interference.imageIDOf(step.Image)
	for _, id := range l.workerIDs {
		w := l.workers[id]
		if !l.filter(w, j, step, policy) || known != nil && known.denied[id] {
			continue
		}
		if _, has := l.ticketFor(w, key, policy); has {
			continue
		}
		if score, ok := l.score(w, j, step, image); ok {
			candidates = append(candidates, scored{id, score})
		}
	}
	slices.SortStableFunc(candidates, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var ids []structs.WorkerID
	for _, c := range candidates[:min(len(candidates), maxAdviceWorkers)] {
		ids = append(ids, c.id)
	}
	return ids
}

// advised takes in an answer of the advice service.
func (l *leaderState) adviceReceived(key stepKey, asked []structs.WorkerID, valid time.Duration, a Advised) {
	l.advice.requestInFlight = false
	l.schedule.requestPass()
	name := taskName(structs.TaskRef{Job: key.job, Occurrence: key.occurrence, Step: key.step})
	if a.Outcome != structs.OutcomeDone {
		l.advice.retryAt = l.state.now + adviceRetryDelay
		l.state.logDecision(Decision{Part: "job", Action: "no advice", Subject: name, Reason: outcomeName(a.Outcome)})
		return
	}
	known := l.advice.steps[key]
	if known == nil {
		known = &stepAdvice{denied: make(map[structs.WorkerID]bool), tickets: make(map[structs.WorkerID]ticket)}
		l.advice.steps[key] = known
	}
	for _, id := range asked {
		token, allowed := a.Tickets[id]
		w := l.workers[id]
		switch {
		case !allowed:
			known.denied[id] = true
		case w != nil:
			known.tickets[id] = ticket{token, w.incarnation, l.state.now + valid}
		}
	}
	l.state.logDecision(Decision{Part: "job", Action: "advised", Subject: name, Number: uint64(len(a.Tickets))})
}

// dropTicket forgets a ticket that a worker has refused.
func (l *leaderState) dropTicket(ref structs.TaskRef, id structs.WorkerID) {
	if a := l.advice.steps[stepKeyOf(ref)]; a != nil {
		delete(a.tickets, id)
	}
}

// forgetAdvice drops what is known of a job's steps.
func (l *leaderState) dropAdvice(j *job) {
	for k := range j.remaining {
		for i := range j.Steps {
			delete(l.advice.steps, stepKey{j.ID, k, i})
		}
	}
}
