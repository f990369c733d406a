package control

// Reduce applies one event to the state and returns its effects in order. The
// returned slice is valid until the next call.
//
// Invariant: no other function changes a State, and none of the functions that
// Reduce calls does I/O or reads a clock.
func Reduce(s *State, ev Event) []Effect {
	s.effects = s.effects[:0]
	if ev.At > s.now {
		s.now = ev.At
	}
	s.wall = ev.Wall
	s.apply(ev.Body)
	s.fireTimers()
	return s.effects
}

func (s *State) apply(body EventBody) {
	switch b := body.(type) {
	case Started:
		s.start(b)
	case TimerFired:
		// No state to change: Reduce fires due timers after every event.
	case Committed:
		s.reportUnreadable(b.Conflicts)
		s.completeEffect(b.Effect, b)
	case RowsRead:
		s.reportUnreadable(b.Rows)
		s.completeEffect(b.Effect, b)
	case ObjectWritten:
		s.completeEffect(b.Effect, b)
	case ObjectRead:
		s.completeEffect(b.Effect, b)
	case ObjectDeleted:
		s.completeEffect(b.Effect, b)
	case HostListRead:
		s.completeEffect(b.Effect, b)
	case WorkerSynced:
		s.completeEffect(b.Effect, b)
	case CommandDone:
		s.completeEffect(b.Effect, b)
	case PeerSent:
		s.completeEffect(b.Effect, b)
	case PeerMessage:
		s.receivePeerMessage(b)
	case CallArrived:
		s.callArrived(b)
	case CallerGone:
		s.callerGone(b)
	case AnswerStarted:
		s.answerStarted(b)
	case AnswerFinished:
		s.answerFinished(b)
	case ApplyRequested:
		s.applyRequested(b)
	case StopRequested:
		s.stopRequested(b)
	case StatusRequested:
		s.statusRequested(b)
	case ExplainRequested:
		s.explainRequested(b)
	case DrainRequested:
		s.drainRequested(b)
	}
}

// start initializes all parts of the state and their periodic timers.
func (s *State) start(b Started) {
	s.self = b
	s.seed = b.Seed
	s.store.start(s)
	s.members.start(s)
	s.partitions = make([]*partition, b.Partitions)
	for i := range s.partitions {
		s.partitions[i] = newPartition(i)
	}
	s.routes = newRouteTable(b.Partitions)
	s.calls = newCallState()
	s.claims = newClaimState()
	s.readEntryHosts()
	s.heartbeat()
	s.pollHostList()
	s.pollConfigHead()
	s.setTimer(s.now, timerOwnershipCheck, 0)
}
