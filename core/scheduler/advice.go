package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// maxAdviceWorkers bounds the workers in one advice request: the answer takes
	// longer for each of them, and other steps wait for it.
	maxAdviceWorkers = 30
	// adviceTimeoutSlack is added to the expected time of an answer as its timeout.
	adviceTimeoutSlack = time.Second
	// adviceRetryDelay is the pause after an advice request that failed.
	adviceRetryDelay = 200 * time.Millisecond
	// ticketMargin is the part of a ticket's validity reserved for the start
	// command to arrive.
	ticketMargin = 200 * time.Millisecond
)

// adviceState holds which workers may run the steps of queues that need advice.
// One request is in flight at a time, since the advice service answers the
// requests of one host in sequence.
type adviceState struct {
	steps           map[stepKey]*stepAdvice
	requestInFlight bool
	retryAt         Instant // no request before this time
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job              structs.JobID
	occurrence, step int
}

// stepAdvice is the advice on one step. Whether a worker may run the step does not
// change; a ticket is valid for one incarnation of the worker and a limited time.
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

// ticketFor returns the ticket for starting a step on a worker, and whether the
// step may be started there. Queues without advice need no ticket.
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

// askAdvice requests advice on which of the best workers for a step may run it.
func (l *leaderState) askAdvice(j *job, key stepKey) {
	policy := l.state.config.policyOf(&j.Job)
	if policy.Advice == nil || l.advice.requestInFlight {
		return // a later pass asks
	}
	if l.state.now < l.advice.retryAt {
		l.schedule.requestPassAt(l.advice.retryAt)
		return
	}
	workers := l.adviceCandidates(j, key)
	if len(workers) == 0 {
		return
	}
	l.advice.requestInFlight = true
	e := AskAdvice{Job: key.job, Occurrence: key.occurrence, Step: key.step, Workers: workers}
	e.Timeout = policy.Advice.BaseTime + time.Duration(len(workers))*policy.Advice.TimePerWorker + adviceTimeoutSlack
	e.ID = l.state.expectOutcome(func(body EventBody) {
		if !l.steppedDown {
			l.adviceReceived(key, workers, policy.Advice.TicketLifetime, body.(AdviceReceived))
		}
	})
	l.state.emit(e)
}

// adviceAllows reports whether the advice service has allowed a worker to run a step, also
// when the ticket has expired since.
func (l *leaderState) adviceAllows(w *worker, key stepKey, policy *structs.Policy) bool {
	if policy.Advice == nil {
		return true
	}
	a := l.advice.steps[key]
	if a == nil {
		return false
	}
	_, allowed := a.tickets[w.id]
	return allowed
}

// adviceCandidates returns the best workers for a task of a step for which there is neither
// a denial nor a valid ticket: those with room or, if there are none and the step has long
// waited for a worker to be kept free, those where room comes.
func (l *leaderState) adviceCandidates(j *job, key stepKey) []structs.WorkerID {
	f := l.newStepFilter(j, key)
	candidates := l.rankUnadvised(f, func(w *worker) bool {
		_, has := l.ticketFor(w, key, f.policy)
		return !has && f.accepts(w)
	})
	if len(candidates) == 0 && f.waitsAsPersistent() {
		candidates = l.rankUnadvised(f, func(w *worker) bool { return !l.adviceAllows(w, key, f.policy) && f.roomComes(w) })
	}
	return candidates[:min(len(candidates), maxAdviceWorkers)]
}

// rankUnadvised returns the workers that a condition holds for and that the advice service
// has not denied, the best first.
func (l *leaderState) rankUnadvised(f *stepFilter, holds func(*worker) bool) []structs.WorkerID {
	type scored struct {
		id    structs.WorkerID
		score float64
	}
	var candidates []scored
	known := l.advice.steps[f.key]
	image := l.imageOf(f.step)
	for _, id := range l.workerIDs {
		w := l.workers[id]
		if known != nil && known.denied[id] || !holds(w) {
			continue
		}
		if score, ok := l.score(w, f.job, f.step, image); ok {
			candidates = append(candidates, scored{id, score})
		}
	}
	slices.SortStableFunc(candidates, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ids := make([]structs.WorkerID, len(candidates))
	for i, c := range candidates {
		ids[i] = c.id
	}
	return ids
}

// adviceReceived records an answer of the advice service.
func (l *leaderState) adviceReceived(key stepKey, asked []structs.WorkerID, valid time.Duration, a AdviceReceived) {
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

// dropTicket removes a ticket that a worker has refused.
func (l *leaderState) dropTicket(ref structs.TaskRef, id structs.WorkerID) {
	if a := l.advice.steps[stepKeyOf(ref)]; a != nil {
		delete(a.tickets, id)
	}
}

// dropAdvice removes the advice on all steps of a job.
func (l *leaderState) dropAdvice(j *job) {
	for k := range j.remainingByStep {
		for i := range j.Steps {
			delete(l.advice.steps, stepKey{j.ID, k, i})
		}
	}
}
