package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// defaultMaxBody limits a request's body, in bytes, if the configuration does not.
	defaultMaxBody = 256 << 10
	// maxTasks bounds the tasks of one job over all occurrences, so that one
	// request cannot exhaust memory.
	maxTasks = 20_000
	// maxEstimate bounds the declared run time of a task, and maxRepeatMS the due
	// times of a repeated job, in Unix milliseconds (the year 5138), so that
	// deadlines do not overflow.
	maxEstimate = 24 * time.Hour
	maxRepeatMS = 100_000_000_000_000
	// jobRowReserve is the share of a job row, one in so many, that is left for its later
	// changes.
	jobRowReserve = 16
	// answerReserve is the part of a caller's timeout reserved for the answer to arrive.
	answerReserve = 150 * time.Millisecond
	// defaultRequestTimeout applies to callers that do not send a timeout.
	defaultRequestTimeout = 3 * time.Second
	// retryAfter is the delay before a retry that is sent to callers.
	retryAfter = 500 * time.Millisecond
	// queueLengthCacheTime is how long a queue length read from the store is reused.
	queueLengthCacheTime = 500 * time.Millisecond
	// maxQueueLengthAge is the age from which stored lengths are not returned to
	// callers, since no leader has counted the queues since.
	maxQueueLengthAge = 3 * time.Second
)

// Answers to requests that name no queue or job, for submissions and explanations alike.
var (
	answerNoConfiguration = Answer{Status: AnswerNotRun, Reason: "no configuration yet", RetryAfter: retryAfter}
	answerNoSuchQueue     = Answer{Status: AnswerNoSuchQueue, Reason: "no such queue"}
	answerInvalidJobID    = Answer{Status: AnswerInvalid, Reason: "the job ID is not 16 hexadecimal digits"}
)

// request is a caller's request in progress.
type request struct {
	id          RequestID
	kind        RequestKind
	arrivedAt   Instant
	deadline    Instant // the answer must be sent by then
	job         structs.JobID
	mayBeStored int  // commits for it that are in flight or had no answer; each may still be performed
	confirming  bool // the row of its job is read until it is there
}

// requestState holds the open requests.
type requestState struct {
	open map[RequestID]*request
}

func newRequestState() requestState { return requestState{open: make(map[RequestID]*request)} }

func (r *requestState) remove(id RequestID) { delete(r.open, id) }

func (s *State) handleRequest(a RequestArrived) {
	timeout := a.Timeout
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	r := &request{id: a.Request, kind: a.Kind, arrivedAt: s.now, deadline: s.now + max(timeout-answerReserve, timeout/2)}
	if s.stopping {
		r.deadline = min(r.deadline, s.answerBy)
	}
	s.requests.open[a.Request] = r
	if !s.config.known() {
		s.answer(r, answerNoConfiguration)
		return
	}
	q, rest := s.config.queueOf(a.Host, a.Path)
	if q == nil {
		s.answer(r, answerNoSuchQueue)
		return
	}
	if rest == "" {
		s.handleQueueRequest(r, q, a)
		return
	}
	if !validJobID(rest) {
		s.answer(r, answerInvalidJobID)
		return
	}
	r.job = structs.JobID(rest)
	s.handleJobRequest(r, q, a)
}

func (s *State) handleQueueRequest(r *request, q *structs.Queue, a RequestArrived) {
	if a.Kind != RequestState {
		s.answer(r, Answer{Status: AnswerNotAllowed, Reason: "a queue only tells its length"})
		return
	}
	s.answerQueueLength(r, q)
}

func (s *State) handleJobRequest(r *request, q *structs.Queue, a RequestArrived) {
	switch a.Kind {
	case RequestInvalid:
		s.answer(r, Answer{Status: AnswerInvalid, Reason: a.InvalidReason})
	case RequestState:
		s.whileReachable(r, func() { s.answerState(r) })
	case RequestCancel:
		s.whileReachable(r, func() { s.cancelJob(r) })
	case RequestSubmit:
		s.submit(r, q, a)
	}
}

// answer answers a request, unless its caller has already disconnected.
func (s *State) answer(r *request, a Answer) {
	if _, open := s.requests.open[r.id]; !open {
		return
	}
	s.requests.remove(r.id)
	a.Request = r.id
	s.emit(a)
	if a.Status != AnswerOK {
		s.logDecision(Decision{
			Part: "request", Action: "refused: " + a.Status.String(), Subject: string(r.job), Where: r.kind.String(), Reason: a.Reason,
			Age: s.now - r.arrivedAt, Number: uint64(r.id),
		})
	}
}

// submit stores a job. The caller is sent AnswerOK only once the job is stored.
func (s *State) submit(r *request, q *structs.Queue, a RequestArrived) {
	job := s.submittedJob(&a, r.job, q)
	if refusal := s.refusalOf(&job, a.Body); refusal.Status != AnswerOK {
		s.answer(r, refusal)
		return
	}
	s.beforeStoring(r, func() {
		s.admitNew(r, &job, func() {
			job.Shard = int(s.chooseShard(&job))
			s.storeJob(r, job)
		})
	})
}

// submittedJob returns the job of a submission to a queue.
func (s *State) submittedJob(a *RequestArrived, id structs.JobID, q *structs.Queue) structs.Job {
	job := a.Job
	job.ID, job.Queue, job.Policy, job.SubmittedMS = id, q.Name, q.Policy, s.wall
	return job
}

// refusalOf returns the answer to a submission that is refused whatever the load is, or an
// answer with AnswerOK. Body is the size of the request's body in bytes.
func (s *State) refusalOf(job *structs.Job, body int64) Answer {
	limit := s.config.current.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if body > limit {
		return Answer{Status: AnswerTooLarge, Reason: "the body is over the limit"}
	}
	if reason := invalidReason(job); reason != "" {
		return Answer{Status: AnswerInvalid, Reason: reason}
	}
	if limit := s.bounds.rowLimit(); jobBytes(job) > limit-limit/jobRowReserve {
		return Answer{Status: AnswerTooLarge, Reason: "the job is larger than the store takes"}
	}
	if s.store.shouldRefuse() {
		return Answer{Status: AnswerNotRun, Reason: storeUnreachable, RetryAfter: retryAfter}
	}
	return Answer{Status: AnswerOK}
}

// readRow reads one row for a request.
func (s *State) readRow(r *request, t Table, partition Partition, key string, done func(RowsRead)) {
	s.read(ReadRows{Table: t, Partition: partition, From: key, To: key + "\x00", Limit: 1, Timeout: s.callTimeout(r, readTimeout)}, done)
}

// findState reads the state of a job and passes it to found. The state is empty if
// there is no such job. With one shard most jobs are found with one read.
func (s *State) findState(r *request, again func(), found func(structs.JobState)) {
	if s.shards.count() > 1 {
		s.findByJobRow(r, again, found)
		return
	}
	s.findProgress(r, 0, again, func(state structs.JobState) {
		if state != "" {
			found(state)
			return
		}
		s.findByJobRow(r, again, found)
	})
}

// findByJobRow reads the job row, which names the shard, and then the progress there.
// A job without progress is queued.
func (s *State) findByJobRow(r *request, again func(), found func(structs.JobState)) {
	s.readRow(r, TableJobs, jobPartition(r.job), string(r.job), func(got RowsRead) {
		if got.Outcome != structs.OutcomeDone {
			s.retry(r, noStoreAnswer, again)
			return
		}
		if len(got.Rows) == 0 {
			found("")
			return
		}
		row, ok := got.Rows[0].Value.(JobRow)
		if !ok {
			s.answer(r, Answer{Status: AnswerUnknown, Reason: "the job cannot be read"})
			return
		}
		s.findProgress(r, ShardID(row.Shard), again, func(state structs.JobState) {
			switch {
			case state != "":
			case row.Moved != nil && row.Moved.State != "":
				state = row.Moved.State // its new shard has stored nothing yet
			default:
				state = structs.JobQueued
			}
			found(state)
		})
	})
}

// findProgress reads the progress of a job in a shard. The state is empty if there is
// none.
func (s *State) findProgress(r *request, shard ShardID, again func(), found func(structs.JobState)) {
	s.readRow(r, TableProgress, shard.partition(), string(r.job), func(got RowsRead) {
		if got.Outcome != structs.OutcomeDone {
			s.retry(r, noStoreAnswer, again)
			return
		}
		if len(got.Rows) == 0 {
			found("")
			return
		}
		p, ok := got.Rows[0].Value.(ProgressRow)
		if !ok {
			s.answer(r, Answer{Status: AnswerUnknown, Reason: "the job's state cannot be read"})
			return
		}
		found(p.State)
	})
}

func (s *State) answerState(r *request) {
	s.findState(r, func() { s.answerState(r) }, func(state structs.JobState) {
		if state == "" {
			s.answer(r, Answer{Status: AnswerNoSuchJob, Reason: "no such job"})
			return
		}
		s.answer(r, Answer{Status: AnswerOK, State: state})
	})
}

func (s *State) cancelJob(r *request) {
	s.findState(r, func() { s.cancelJob(r) }, func(state structs.JobState) {
		switch {
		case state == "":
			// The store may still perform a submission whose answer was lost.
			s.writeCancel(r, Answer{Status: AnswerNoSuchJob, Reason: "no such job"})
		case state.Final():
			s.answer(r, Answer{Status: AnswerOK})
		default:
			s.writeCancel(r, Answer{Status: AnswerOK})
		}
	})
}

// writeCancel stores a cancellation and then sends the answer.
func (s *State) writeCancel(r *request, answer Answer) {
	s.commitFor(r, commitTimeout, Commit{Writes: []Write{{Table: TableCancels, Key: string(r.job), Value: CancelRow{Host: s.self.Host}}}}, func(c Committed) {
		if c.Outcome != structs.OutcomeDone {
			s.retry(r, noStoreAnswer, func() { s.writeCancel(r, answer) })
			return
		}
		s.logDecision(Decision{Part: "request", Action: "cancel accepted", Subject: string(r.job), Age: s.now - r.arrivedAt})
		s.answer(r, answer)
	})
}

func (s *State) answerQueueLength(r *request, q *structs.Queue) {
	if s.shards.everRead && s.now-s.shards.readAt < queueLengthCacheTime {
		s.sendQueueLength(r, q)
		return
	}
	s.whileReachable(r, func() {
		s.readShards(s.callTimeout(r, readTimeout), func(got RowsRead) {
			if got.Outcome != structs.OutcomeDone {
				s.retry(r, noStoreAnswer, func() { s.answerQueueLength(r, q) })
				return
			}
			s.sendQueueLength(r, q)
		})
	})
}

func (s *State) sendQueueLength(r *request, q *structs.Queue) {
	length, fresh := s.shards.queueLength(q.Name, s.now)
	if !fresh {
		s.retry(r, "the queue has not been counted recently", func() { s.answerQueueLength(r, q) })
		return
	}
	s.answer(r, Answer{Status: AnswerOK, HasQueueLength: true, QueueLength: length})
}

// queueLength returns the length of a queue over all shards, and whether enough of the
// shards have counted it recently to answer callers. Before the first leader all
// queues are empty.
func (v *shardView) queueLength(queue string, now Instant) (length int, fresh bool) {
	stale := 0
	for id := range ShardID(v.count()) {
		load, ok := v.loads[id]
		if !ok {
			continue
		}
		length += load.QueueLengths[queue]
		if v.age(load, now) > maxQueueLengthAge {
			stale++
		}
	}
	return length, stale == 0 || 2*stale < v.count()
}

const jobIDDigits = 16

func validJobID(id string) bool {
	if len(id) != jobIDDigits {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'f', c >= 'A' && c <= 'F':
		default:
			return false
		}
	}
	return true
}

// invalidReason returns why a job is invalid, or an empty string.
func invalidReason(j *structs.Job) string {
	if len(j.Steps) == 0 {
		return "the job has no steps"
	}
	tasks := 0
	for i, step := range j.Steps {
		if step.Count <= 0 {
			return "a step has no tasks"
		}
		if !step.Request.Valid() {
			return "a step requests less than nothing or more than any worker has"
		}
		if step.PerWorker < 0 || step.Estimate < 0 || step.Estimate > maxEstimate {
			return "a limit or an estimate of a step is out of range"
		}
		for _, a := range step.After {
			if a < 0 || a >= i {
				return "a step waits for a step that is not before it"
			}
		}
		tasks += step.Count
		if tasks > maxTasks {
			return "the job has too many tasks"
		}
	}
	r := j.Repeat
	if r == nil {
		return ""
	}
	if r.Count < 1 || tasks > maxTasks/r.Count {
		return "the job repeats too often"
	}
	if r.FirstMS < 0 || r.FirstMS > maxRepeatMS || r.EveryMS < 0 || r.EveryMS > maxRepeatMS/maxTasks {
		return "the times of the job are out of range"
	}
	return ""
}

// String returns the kind in logs and metrics.
func (k RequestKind) String() string {
	switch k {
	case RequestSubmit:
		return "submit"
	case RequestState:
		return "state"
	case RequestCancel:
		return "cancel"
	}
	return "invalid"
}

// String returns the status in logs.
func (a AnswerStatus) String() string {
	switch a {
	case AnswerOK:
		return "ok"
	case AnswerNoSuchQueue:
		return "no such queue"
	case AnswerNoSuchJob:
		return "no such job"
	case AnswerInvalid:
		return "invalid"
	case AnswerTooLarge:
		return "too large"
	case AnswerNotRun:
		return "not run"
	case AnswerNotAllowed:
		return "not allowed"
	}
	return "unknown outcome"
}
