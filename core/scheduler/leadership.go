package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// leadLease is how long a leader may act after it sent its last successful
	// commit. A shorter lease shortens the pause after a leader's loss; the lease
	// has to outlast one commit that times out and its repeat.
	leaderLease = 2 * time.Second
	// leadRenew spaces the commits that renew the lease when nothing else is written.
	leaseRenewInterval = 500 * time.Millisecond
	// leadPoll spaces the looks of other hosts at the lease.
	leasePollInterval = 500 * time.Millisecond
	// weakPoll does so for weak hosts, which leave a vacant lead to others at first.
	weakPollInterval = 1200 * time.Millisecond
	// leadMargin is kept between the end of a lease for its holder and for the
	// others, for clocks that differ in rate and for delays on the way.
	leaderLeaseMargin = 250 * time.Millisecond
	// leadSettle is how long a host has to have been able to read the lease before
	// it takes one that has expired, so that a leader that shared the outage gets to
	// renew first: its commit may have to time out and be repeated.
	minReadableTime = commitTimeout + 2*storeRetryDelay
	// weakFactor tells which hosts are weak: those with less than this share of
	// the processors of the strongest leader. They take the lead only when no
	// stronger host has taken it within leadYield, which is two polls.
	weakHostRatio     = 0.5
	weakTakeoverDelay = 1250 * time.Millisecond
	// challengeAfter is how long a weak leader has led before a stronger host asks for the lead.
	challengeDelay = 2 * time.Second
)

// leadership is what the host knows about who leads.
type leadership struct {
	leader              LeaderRow
	leaderVersion       structs.Version
	lease               LeaseRow
	leaseVersion        structs.Version
	challenge           ChallengeRow
	usedWorkers         UsedRow
	pressures           PressuresRow
	takeoverInFlight    bool     // a takeover is under way
	unconfirmedTakeover takeover // without an answer; epoch 0: none
	readableSince       Instant  // since when the lease can be read; 0: it cannot
	epochSeenAt         Instant  // when the present epoch was seen first
	releasedSince       Instant  // when the lease was seen to be released; 0: it is not
}

// poll looks at the lease from time to time and takes it over when it has expired.
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

// learn takes in the rows of leadership.
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
		case UsedRow:
			l.usedWorkers = v
		case PressuresRow:
			l.pressures = v
		}
	}
	if s.leader != nil && l.leader.Instance != s.self.Instance {
		s.leader.stepDown("another host leads")
	}
	if s.leader != nil && l.challenge.Epoch == s.leader.epoch && s.self.Processors < weakHostRatio*l.challenge.Processors {
		s.leader.releaseLeadership("a stronger host asks for the lead")
	}
}

// weak reports whether a stronger host is known to have led or to ask for the lead.
func (l *leadership) isWeak(s *State) bool {
	return s.self.Processors < weakHostRatio*max(l.leader.Strongest, l.challenge.Processors)
}

// consider takes the lead when nobody holds it.
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

// askForLead asks a weak leader to release the lead.
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

// takeover is an attempt to take the lead whose outcome is not known.
type takeover struct {
	epoch  structs.Epoch
	sentAt Instant
}

// takeOver writes the next epoch. The conditions on both rows let exactly one
// host succeed, and only while the former leader has not renewed.
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

// lead begins to schedule under an epoch that this host has written.
func (l *leadership) startLeading(s *State, attempt takeover, storeMS int64) {
	l.unconfirmedTakeover = takeover{}
	s.logDecision(Decision{Part: "leader", Action: "took the lead", Subject: s.self.Host, Number: uint64(attempt.epoch)})
	becomeLeader(s, attempt.epoch, l.leaderVersion, attempt.sentAt, storeMS)
}

// settleAttempt begins to schedule when a takeover without an answer has taken
// effect. Nobody else has written the lease since, or it would have another
// version than the leader's row; the lease counts from when the takeover was sent.
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
