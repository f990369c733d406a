package control

// timerKind selects the handler of a timer.
type timerKind uint8

const (
	timerHeartbeat timerKind = iota + 1
	timerEntryHosts
	timerHostList
	timerConfigPoll
	timerOwnershipCheck
	timerPartitionFlush // arg: partition
	timerRetryCommit    // arg: transaction
	timerEmit           // arg: delayed effect
	timerTaskWork       // arg: partition; next step of work that is split into steps
	timerWorkerSync     // arg: partition
	timerCallDeadline   // arg: call
	timerCallQueue      // next round of dispatching queued calls
	timerClaimFlush
	timerClaimTimeout // arg: call; limit for its claim to become durable
	timerDrainCheck
	timerRetryConfig
	timerApplyWait
	timerPolicy // arg: partition; next evaluation of its scheduling policy
)

// timer is a deadline in the queue: its handler and the handler's argument.
type timer struct {
	kind timerKind
	arg  uint64
}

// setTimer schedules the handler of kind to be called with arg. Timers cannot
// be cancelled; handlers check that they still apply.
func (s *State) setTimer(at Instant, kind timerKind, arg uint64) {
	s.timers.Add(at, timer{kind, arg})
}

// NextDeadline returns the instant at which TimerFired must be applied next.
func (s *State) NextDeadline() (Instant, bool) { return s.timers.Next() }

// maxTimersPerEvent bounds the work of one event. Further due timers fire with
// the next event.
const maxTimersPerEvent = 64

// fireTimers calls the handlers of due timers, up to maxTimersPerEvent.
func (s *State) fireTimers() {
	for range maxTimersPerEvent {
		t, due := s.timers.TakeDue(s.now)
		if !due {
			return
		}
		s.fire(t)
	}
}

func (s *State) fire(t timer) {
	switch t.kind {
	case timerHeartbeat:
		s.heartbeat()
	case timerEntryHosts:
		s.readEntryHosts()
	case timerHostList:
		s.pollHostList()
	case timerConfigPoll:
		s.pollConfigHead()
	case timerRetryConfig:
		s.fetchConfiguration()
	case timerApplyWait:
		s.resumeApply()
	case timerOwnershipCheck:
		s.checkOwnership()
	case timerPartitionFlush:
		s.flushPartition(s.partitions[t.arg])
	case timerEmit:
		s.emitDelayed(t.arg)
	case timerRetryCommit:
		s.retryTransaction(t.arg)
	case timerTaskWork:
		s.taskStep(s.partitions[t.arg])
	case timerWorkerSync:
		s.syncWorkers(s.partitions[t.arg])
	case timerPolicy:
		s.policyStep(s.partitions[t.arg])
	case timerCallDeadline:
		s.callDeadline(CallID(t.arg))
	case timerCallQueue:
		s.serveQueues()
	case timerClaimFlush:
		s.flushClaims()
	case timerClaimTimeout:
		s.claimTimedOut(CallID(t.arg))
	case timerDrainCheck:
		s.advanceDrain()
	}
}
