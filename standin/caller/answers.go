package caller

import (
	"fmt"
	"net/http"
	"time"
)

// handleAnswer applies the result of an attempt: it ends the job or schedules a
// retry. Results of earlier attempts and of ended jobs are ignored.
func (s *State) handleAnswer(e AttemptEnded) {
	j := s.jobs[e.Job]
	if j == nil || j.attempts != e.Attempt || j.retryAt > 0 {
		return
	}
	s.recordAttempt(j, e.Result)
	kind := classify(e.Result)
	switch kind {
	case attemptDone:
		s.completeAttempt(j, e.Result)
		return
	case attemptUnknown:
		j.mayHaveRun = true
	}
	if j.attempts < s.options.MaxAttempts {
		j.retryAt = s.now + retryDelay*time.Duration(j.attempts)
		return
	}
	s.endJob(j)
}

// completeAttempt applies a complete answer: it ends the job, or schedules the
// one repetition of an order that Options.RepeatOrders asks for.
func (s *State) completeAttempt(j *job, r Result) {
	if !j.isOrder {
		s.report.CallsDone++
		if len(s.latencies) < maxLatencies {
			s.latencies = append(s.latencies, r.Elapsed)
		}
		if s.lastAnswerAt > 0 {
			s.report.LongestGapMS = max(s.report.LongestGapMS, milliseconds(s.now-s.lastAnswerAt))
		}
		s.lastAnswerAt = s.now
	}
	repeat := j.isOrder && s.options.RepeatOrders && !j.answered
	j.answered = true
	if repeat {
		j.retryAt = s.now + 1
		return
	}
	s.endJob(j)
}

// endJob removes a job and reports the outcome of an order or the failure of a call.
func (s *State) endJob(j *job) {
	delete(s.jobs, j.id)
	switch {
	case j.isOrder:
		state := OrderNotRun
		if j.answered {
			state = OrderDone
		} else if j.mayHaveRun {
			state = OrderUnknown
		}
		s.report.Orders = append(s.report.Orders, Order{Key: s.callerID(j), State: state, Attempts: j.attempts})
	case !j.answered:
		s.report.CallsFailed++
	}
}

// recordAttempt adds the result of an attempt to the report. It reports a
// violation for a complete answer that does not belong to this request, and for a
// status that contradicts the outcome "not run".
func (s *State) recordAttempt(j *job, r Result) {
	label := fmt.Sprintf("%d", r.Status)
	switch {
	case !r.Sent:
		label = "no connection"
	case r.Outcome != "":
		label += " " + r.Outcome
	case r.Status == 0:
		label = "no answer"
	}
	s.report.Statuses[label]++
	host := s.options.Hosts[j.host].CallerAddress
	if r.Sent && !r.Complete {
		s.report.IncompleteAttempts = append(s.report.IncompleteAttempts, IncompleteAttempt{AtMS: s.wallMS, Host: host, ID: s.callerID(j), Detail: r.Detail})
	}
	if r.Complete && r.Status == http.StatusOK && r.Mismatch != "" {
		s.reportViolation(fmt.Sprintf("%s through host %s: answer does not belong to the request: %s", s.callerID(j), host, r.Mismatch))
	}
	if r.Outcome == outcomeNotRun && r.Status < 500 && r.Status != http.StatusTooManyRequests {
		s.reportViolation(fmt.Sprintf("%s through host %s: status %d contradicts outcome %s", s.callerID(j), host, r.Status, r.Outcome))
	}
}

func (s *State) reportViolation(line string) {
	s.report.Violations = append(s.report.Violations, line)
	s.emit(LogViolation{Message: line})
}
