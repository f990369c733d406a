package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// leaderLease is how long a leader may act after it sent its last successful
	// commit. A shorter lease shortens the pause after the loss of a leader; the
	// lease has to outlast one commit that times out and its retry.
	leaderLease = 2 * time.Second
	// leaseRenewInterval separates commits that renew the lease when nothing else is written.
	leaseRenewInterval = 500 * time.Millisecond
	// leasePollInterval separates reads of the lease by a host.
	leasePollInterval = 500 * time.Millisecond
	// weakPollInterval applies to weak hosts, which leave vacant leadership to
	// stronger hosts at first.
	weakPollInterval = 1200 * time.Millisecond
	// leaderLeaseMargin separates the end of a lease for its holder from its end for
	// other hosts. It covers clocks that differ in rate, and message delays.
	leaderLeaseMargin = 250 * time.Millisecond
	// minReadableTime is how long a host must have been able to read the lease
	// before it takes over an expired one. A leader that suffered the same store
	// outage can then renew first: its commit may have to time out and be retried.
	minReadableTime = commitTimeout + 2*storeRetryDelay
	// weakHostRatio defines weak hosts: those with less than this share of the
	// processors of the strongest leader. They take over only if no stronger host
	// has done so within weakTakeoverDelay, which is two polls.
	weakHostRatio     = 0.5
	weakTakeoverDelay = 1250 * time.Millisecond
	// challengeDelay is how long a weak leader has led before a stronger host
	// asks it to release leadership.
	challengeDelay = 2 * time.Second
)

// leadership is what the host knows about the leader, its lease and the challenge.
type leadership struct {
	leader              LeaderRow
	leaderVersion       structs.Version
	lease               LeaseRow
	leaseVersion        structs.Version
	challenge           ChallengeRow
	usedWorkers         UsedWorkersRow
	pressures           PressuresRow
	takeoverInFlight    bool
	unconfirmedTakeover takeover // outcome unknown; epoch 0: none
	readableSince       Instant  // since when the lease can be read; 0: it cannot be read
	epochSeenAt         Instant  // when the current epoch was seen first
	releasedSince       Instant  // since when the lease is seen as released; 0: it is not released
}

// pollLease reads the leadership rows periodically and takes over a vacant lease.
func (l *leadership) pollLease(s *State) {
	s.read(ReadRows{Table: TableControl}, func(r RowsRead) {
		trackSince(&l.readableSince, r.Outcome == structs.OutcomeDone, s.now)
		if r.Outcome == structs.OutcomeDone {
			l.applyRows(s, r.Rows)
			l.confirmTakeover(s, r.StoreMS)
			l.considerTakeover(s, r.StoreMS)
		}
		interval := leasePollInterval
		if l.isWeak(s) && s.leader == nil {
			interval = weakPollInterval
		}
		s.after(s.jittered(interval), func() { l.pollLease(s) })
	})
}

// applyRows applies leadership rows. A leader steps down if another host leads,
// and releases leadership if a stronger host has challenged it.
func (l *leadership) applyRows(s *State, rows []Row) {
	for _, r := range rows {
		switch v := r.Value.(type) {
		case LeaderRow:
			if r.Version > l.leaderVersion {
				if v.Epoch != l.leader.Epoch {
					s.logDecision(Decision{Part: "leader", Action: "leader seen", Subject: v.Host, Number: uint64(v.Epoch)})
					l.epochSeenAt = s.now
				}
				l.leader, l.leaderVersion = v, r.Version
			}
		case LeaseRow:
			if r.Version > l.leaseVersion {
				l.lease, l.leaseVersion = v, r.Version
				trackSince(&l.releasedSince, v.ExpiresMS == 0, s.now)
			}
		case ChallengeRow:
			l.challenge = v
		case UsedWorkersRow:
			l.usedWorkers = v
		case PressuresRow:
			l.pressures = v
		}
	}
	if s.leader != nil && l.leader.Instance != s.self.Instance {
		s.leader.stepDown("another host leads")
	}
	if s.leader != nil && l.challenge.Epoch == s.leader.epoch && s.self.Processors < weakHostRatio*l.challenge.Processors {
		s.leader.releaseLeadership("challenged by a stronger host")
	}
}

// isWeak reports whether a much stronger host is known to have led or to challenge.
func (l *leadership) isWeak(s *State) bool {
	return s.self.Processors < weakHostRatio*max(l.leader.Strongest, l.challenge.Processors)
}

// considerTakeover takes over when no host holds the lease, or challenges a weak leader.
func (l *leadership) considerTakeover(s *State, storeMS int64) {
	if s.leader != nil || s.stopping || l.takeoverInFlight {
		return
	}
	released := l.lease.ExpiresMS == 0
	vacantFor := time.Duration(storeMS-l.lease.ExpiresMS)*time.Millisecond - leaderLeaseMargin
	if released {
		vacantFor = s.now - l.releasedSince
	}
	readableFor := s.now - l.readableSince
	switch {
	case vacantFor < 0:
		l.challengeLeader(s)
	case !released && readableFor < minReadableTime:
	case l.isWeak(s) && min(vacantFor, readableFor-minReadableTime) < weakTakeoverDelay:
	default:
		l.takeOver(s, storeMS)
	}
}

// challengeLeader asks a weak leader to release leadership.
func (l *leadership) challengeLeader(s *State) {
	if l.leader.Processors >= weakHostRatio*s.self.Processors || l.challenge.Epoch == l.leader.Epoch || s.now-l.epochSeenAt < challengeDelay {
		return
	}
	row := ChallengeRow{Host: s.self.Host, Epoch: l.leader.Epoch, Processors: s.self.Processors}
	l.challenge = row
	s.logDecision(Decision{Part: "leader", Action: "asked a weaker host for the lead", Subject: s.self.Host, Where: l.leader.Host, Number: uint64(row.Epoch)})
	s.commit(Commit{Writes: []Write{{TableControl, KeyChallenge, row}}}, func(c Committed) {
		if c.Outcome != structs.OutcomeDone {
			s.logDecision(Decision{Part: "leader", Action: "request for the lead did not reach the store", Subject: s.self.Host, Reason: outcomeName(c.Outcome), Number: uint64(row.Epoch)})
			l.challenge = ChallengeRow{}
		}
	})
}

// takeover is an attempt to become the leader.
type takeover struct {
	epoch  structs.Epoch
	sentAt Instant
}

// takeOver writes the next epoch. The conditions on both rows let exactly one
// host succeed, and only if the former leader has not renewed its lease.
func (l *leadership) takeOver(s *State, storeMS int64) {
	l.takeoverInFlight = true
	attempt := takeover{epoch: l.leader.Epoch + 1, sentAt: s.now}
	row := LeaderRow{
		Host: s.self.Host, Instance: s.self.Instance, Epoch: attempt.epoch,
		Processors: s.self.Processors, Strongest: max(l.leader.Strongest, s.self.Processors),
	}
	lease := LeaseRow{Instance: s.self.Instance, Sequence: 1, ExpiresMS: storeMS + (leaderLease + leaderLeaseMargin).Milliseconds()}
	s.commit(Commit{
		Conditions: []Condition{{TableControl, KeyLeader, l.leaderVersion}, {TableControl, KeyLease, l.leaseVersion}},
		Writes:     []Write{{TableControl, KeyLeader, row}, {TableControl, KeyLease, lease}},
	}, func(c Committed) {
		l.takeoverInFlight = false
		if c.Outcome != structs.OutcomeDone {
			s.logDecision(Decision{Part: "leader", Action: "takeover did not succeed", Subject: s.self.Host, Reason: outcomeName(c.Outcome), Number: uint64(row.Epoch)})
			if c.Outcome == structs.OutcomeUnknown {
				l.unconfirmedTakeover = attempt
			}
			return
		}
		l.leader, l.leaderVersion, l.lease, l.leaseVersion = row, c.Version, lease, c.Version
		l.startLeading(s, attempt, c.StoreMS)
	})
}

// startLeading makes this host the leader of an epoch that it has written.
func (l *leadership) startLeading(s *State, attempt takeover, storeMS int64) {
	l.unconfirmedTakeover = takeover{}
	s.logDecision(Decision{Part: "leader", Action: "took the lead", Subject: s.self.Host, Number: uint64(attempt.epoch)})
	becomeLeader(s, attempt.epoch, l.leaderVersion, attempt.sentAt, storeMS)
}

// confirmTakeover makes this host the leader when a takeover without an answer
// turns out to have taken effect. Equal versions of the leader row and the lease
// row show that nobody has written the lease since. The lease counts from the time
// at which the takeover was sent.
func (l *leadership) confirmTakeover(s *State, storeMS int64) {
	a := l.unconfirmedTakeover
	if a.epoch == 0 || s.leader != nil || s.stopping {
		return
	}
	switch {
	case s.now >= a.sentAt+leaderLease || l.leader.Epoch > a.epoch:
		l.unconfirmedTakeover = takeover{}
	case l.leader.Epoch == a.epoch && l.leader.Instance == s.self.Instance && l.lease.Instance == s.self.Instance && l.leaseVersion == l.leaderVersion:
		l.startLeading(s, a, storeMS)
	}
}
