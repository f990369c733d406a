package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// probeTimeout bounds the read before a job is stored. A slow store answers within
	// about half a second.
	probeTimeout = 600 * time.Millisecond
	// recentSuccess is the age of the last answer of the store from which a job is not
	// stored before another call has been answered. A host polls the loads more often,
	// unless it is a weak one.
	recentSuccess = 800 * time.Millisecond
	// storeOutageTime is how long all calls must have failed before requests that may be
	// stored are no longer repeated. One lost answer or connection costs less than this.
	storeOutageTime = time.Second
	// submitTimeout bounds one attempt to store a job. It covers the longest queue of
	// transactions in a partition of a slow store: a repetition would take another place
	// in it.
	submitTimeout = 1800 * time.Millisecond
	// confirmInterval separates reads of a job's row while its commit has no answer. They
	// find a job that is stored although the answer is lost, and take no place in the
	// partition's queue.
	confirmInterval = 350 * time.Millisecond
	// minWriteReads is how many times as long as the last read of the store a write takes
	// at least.
	minWriteReads = 2
)

// noStoreAnswer is the reason of answers to requests whose calls to the store failed.
const noStoreAnswer = "no answer from the store"

// storeUnreachable is the reason of answers to requests that are refused while all calls to the
// store fail.
const storeUnreachable = "the store cannot be reached"

// whileReachable calls then, or refuses the request at once while all calls to the store
// fail.
func (s *State) whileReachable(r *request, then func()) {
	if s.store.shouldRefuse() {
		s.giveUp(r, storeUnreachable)
		return
	}
	then()
}

// beforeStoring calls then once a call to the store has been answered recently and the
// loads of the shards are known. Otherwise it refuses the request, as nothing has been
// sent for it: a write without an answer would leave its outcome unknown.
func (s *State) beforeStoring(r *request, then func()) {
	v := &s.shards
	age := s.now - v.readAt
	if v.everRead && age < freshLoadTime || v.everRead && v.count() == 1 && s.now-s.store.lastSuccess < recentSuccess {
		then()
		return
	}
	s.readShards(s.callTimeout(r, probeTimeout), func(got RowsRead) {
		if got.Outcome != structs.OutcomeDone {
			s.giveUp(r, "the store does not answer")
			return
		}
		then()
	})
}

// callTimeout returns the timeout of a call to the store for a request: it ends with the
// request, so that the caller is answered by its deadline.
func (s *State) callTimeout(r *request, limit time.Duration) time.Duration {
	return max(min(limit, r.deadline-s.now), time.Millisecond)
}

// commitFor sends a commit for a request, and records whether it may be performed.
func (s *State) commitFor(r *request, timeout time.Duration, e Commit, done func(Committed)) {
	if !s.isOpen(r) { // it was answered, or its caller disconnected
		return
	}
	r.mayBeStored++
	e.Timeout = s.callTimeout(r, timeout)
	s.commit(e, func(c Committed) {
		if c.Outcome != structs.OutcomeUnknown {
			r.mayBeStored--
		}
		done(c)
	})
}

func (s *State) isOpen(r *request) bool { return s.requests.open[r.id] == r }

// storeJob stores a job, unless there is one with its ID. A request that cannot be
// answered in time is refused instead, before its outcome may become unknown.
func (s *State) storeJob(r *request, job structs.Job) {
	if r.mayBeStored == 0 && r.deadline-s.now < minWriteReads*s.shards.readTime {
		s.giveUp(r, "too little time is left")
		return
	}
	key, partition := string(job.ID), jobPartition(job.ID)
	s.commitFor(r, submitTimeout, Commit{
		Conditions: []Condition{{TableJobs, partition, key, 0}},
		Writes:     []Write{{TableJobs, partition, key, JobRow{job}}},
	}, func(c Committed) { s.submitDone(r, job, c) })
	if !r.confirming {
		r.confirming = true
		s.after(confirmInterval, func() { s.confirmStored(r) })
	}
}

// confirmStored reads the row of a job until it is there or the request is answered. A
// row that is absent proves nothing: a commit without an answer may be performed later.
func (s *State) confirmStored(r *request) {
	if !s.isOpen(r) {
		return
	}
	s.readRow(r, TableJobs, jobPartition(r.job), string(r.job), func(got RowsRead) {
		if got.Outcome == structs.OutcomeDone && len(got.Rows) > 0 {
			if row, ok := got.Rows[0].Value.(JobRow); ok {
				s.logAccepted(r, &row.Job)
			}
			s.answer(r, Answer{Status: AnswerOK})
			return
		}
		s.after(confirmInterval, func() { s.confirmStored(r) })
	})
}

func (s *State) submitDone(r *request, job structs.Job, c Committed) {
	switch {
	case c.Outcome == structs.OutcomeDone:
		s.logAccepted(r, &job)
		s.answer(r, Answer{Status: AnswerOK})
	case len(c.Conflicts) > 0:
		// The job has been stored by an earlier request or attempt.
		s.answer(r, Answer{Status: AnswerOK})
	case c.Rejected:
		// An earlier attempt without an answer had the same content.
		s.answer(r, Answer{Status: AnswerTooLarge, Reason: "the store rejects the job"})
	case r.mayBeStored == 0:
		s.giveUp(r, "the store refused the job")
	default:
		s.retry(r, noStoreAnswer, func() { s.storeJob(r, job) })
	}
}

func (s *State) logAccepted(r *request, job *structs.Job) {
	s.logDecision(Decision{Part: "request", Action: "job accepted", Subject: string(r.job), Where: job.Queue, Reason: ShardID(job.Shard).String(), Age: s.now - r.arrivedAt, Number: s.config.current.Number})
}

// retry calls again after a pause, or gives the request up at its deadline or while the
// store has an outage: the caller may reach it through another host. A request for which
// nothing may be stored is not held as long, since it can certainly be sent again.
func (s *State) retry(r *request, reason string, again func()) {
	outage := s.store.isOutage(s.now) || r.mayBeStored == 0 && s.store.shouldRefuse()
	if outage || s.now+storeRetryDelay >= r.deadline {
		s.giveUp(r, reason)
		return
	}
	s.after(storeRetryDelay, func() {
		if s.isOpen(r) {
			again()
		}
	})
}

// giveUp answers a request that the store has not answered. Only one that may have been
// performed, or may be later, has an unknown outcome.
func (s *State) giveUp(r *request, reason string) {
	status := AnswerNotRun
	if r.mayBeStored > 0 {
		status = AnswerUnknown
	}
	s.answer(r, Answer{Status: status, Reason: reason, RetryAfter: retryAfter})
}

// giveUpDuringOutage gives up all open requests if the outage of the store goes on.
func (s *State) giveUpDuringOutage() {
	if s.store.isOutage(s.now) {
		s.giveUpAll(noStoreAnswer)
	}
}

// giveUpAll gives up all open requests.
func (s *State) giveUpAll(reason string) {
	for _, id := range slices.Sorted(maps.Keys(s.requests.open)) {
		s.giveUp(s.requests.open[id], reason)
	}
}
