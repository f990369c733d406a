package control

// timerKind tells which part set a timer.
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
	timerTaskWork       // arg: partition; next step of work cut into pieces
	timerWorkerSync     // arg: partition
	timerCallDeadline   // arg: call
	timerCallQueue      // arg: unused; next look at waiting calls
	timerClaimFlush
	timerClaimWait // arg: call; limit for a durable claim
	timerDrainLimit
	timerRetryConfig
	timerApplyWait
	timerPolicy // arg: partition; learning and crest control
)

// timer is a deadline of one part.
type timer struct {
	kind timerKind
	arg  uint64
}

// setTimer asks for fire to be called with the kind and argument at the
// instant. Timers cannot be cancelled; handlers check that they still apply.
func (s *State) setTimer(at Instant, kind timerKind, arg uint64) {
	s.timers.Add(at, timer{kind, arg})
}

// NextDeadline returns the instant at which the reducer wants TimerFired.
func (s *State) NextDeadline() (Instant, bool) { return s.timers.Next() }

// maxTimersPerEvent bounds the work of one event; the rest fires in the next.
const maxTimersPerEvent = 64

// fireTimers calls the handlers of timers that are due.
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
		s.taskWork(s.partitions[t.arg])
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
	case timerClaimWait:
		s.claimWaitOver(CallID(t.arg))
	case timerDrainLimit:
		s.drainLimitPassed()
	}
}
