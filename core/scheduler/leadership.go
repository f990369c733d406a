package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/core/timers"
)

const (
	// leaderLease is how long a leader may act after it sent its last successful
	// commit. A shorter lease shortens the pause after the loss of a leader; the
	// lease has to outlast one commit that times out and its retry.
	leaderLease = 2 * time.Second
	// leaseRenewInterval separates commits that renew the lease when nothing else is written.
	leaseRenewInterval = 500 * time.Millisecond
	// leasePollInterval separates reads of the shards' loads by a host, and
	// vacancyPollInterval while one of them has no leader.
	leasePollInterval   = 500 * time.Millisecond
	vacancyPollInterval = 250 * time.Millisecond
	// weakPollInterval and weakVacancyPollInterval apply to weak hosts, which leave
	// vacant leadership to stronger hosts at first.
	weakPollInterval        = 1200 * time.Millisecond
	weakVacancyPollInterval = 500 * time.Millisecond
	// leaderLeaseMargin separates the end of a lease for its holder from its end for
	// other hosts. It covers clocks that differ in rate, and message delays.
	leaderLeaseMargin = 250 * time.Millisecond
	// minReadableTime is how long a host must have been able to read the loads
	// before it takes over an expired lease. A leader that suffered the same store
	// outage can then renew first: its commit may have to time out and be retried.
	minReadableTime = commitTimeout + 2*storeRetryDelay
	// weakHostRatio defines weak hosts: those with less than this share of the
	// processors of the strongest leader. They take over only if no stronger host
	// has done so within weakTakeoverDelay, which is two polls.
	weakHostRatio     = 0.5
	weakTakeoverDelay = 1250 * time.Millisecond
	// busyTakeoverDelay is how long a host leaves a vacant shard to others for each
	// shard that it leads, so that shards spread over the hosts.
	busyTakeoverDelay = 400 * time.Millisecond
	// firstTakeoverDelay is how long a host with one processor leaves a shard that has
	// never had a leader to stronger hosts; with fewer processors it waits longer, up
	// to maxFirstTakeoverDelay.
	firstTakeoverDelay    = 100 * time.Millisecond
	maxFirstTakeoverDelay = time.Second
	// firstBusyDelay replaces busyTakeoverDelay for such a shard: other hosts learn of
	// it with their next poll and take it with the one after that.
	firstBusyDelay = 1200 * time.Millisecond
	// challengeDelay is how long a leader has led before another host asks it to
	// release leadership.
	challengeDelay = 2 * time.Second
)

// leadership is what the host knows about the leader of one shard, its lease and the
// challenge.
type leadership struct {
	shard               ShardID
	leader              LeaderRow
	leaderVersion       structs.Version
	lease               LeaseRow
	leaseVersion        structs.Version
	challenge           ChallengeRow
	usedWorkers         UsedWorkersRow
	pressures           PressuresRow
	unconfirmedTakeover takeover // outcome unknown; epoch 0: none
	readInFlight        bool
	vacantSince         Instant // since when the lease is seen as released or absent; 0: it is not

	// Of the leader that the loads or the leadership rows show.
	seenEpoch       structs.Epoch
	epochSeenAt     Instant
	challengedEpoch structs.Epoch
}

// leaderOf returns the state of this host as the leader of a shard, or nil.
func (s *State) leaderOf(id ShardID) *leaderState {
	for _, l := range s.leaders {
		if l.shard == id {
			return l
		}
	}
	return nil
}

// pollShards reads the loads of the shards periodically. It reads the leases of the
// shards without a recent load and of those that this host leads.
func (s *State) pollShards() {
	s.readShards(readTimeout, func(r RowsRead) {
		vacant := false
		if r.Outcome == structs.OutcomeDone {
			vacant = s.followLeaders()
		}
		s.after(s.jittered(s.pollInterval(vacant)), s.pollShards)
	})
}

func (s *State) pollInterval(vacant bool) time.Duration {
	weak := s.isWeak() && len(s.leaders) == 0
	switch {
	case weak && vacant:
		return weakVacancyPollInterval
	case weak:
		return weakPollInterval
	case vacant:
		return vacancyPollInterval
	}
	return leasePollInterval
}

// followLeaders reads leases as necessary, beginning with a random shard, and reports
// whether a shard may have no leader.
func (s *State) followLeaders() (vacant bool) {
	n := uint64(s.shards.count())
	first := s.draw() % n
	for i := range n {
		l := s.shards.leadership(ShardID((first + i) % n))
		led := s.shards.led(l.shard, s.now)
		switch {
		case s.leaderOf(l.shard) != nil:
			l.read(s)
		case !led:
			vacant = true
			l.read(s)
		default:
			l.considerChallenge(s)
		}
	}
	return vacant
}

// read reads the leadership rows and takes over a vacant lease.
func (l *leadership) read(s *State) {
	if l.readInFlight {
		return
	}
	l.readInFlight = true
	s.read(ReadRows{Table: TableControl, Partition: l.shard.partition()}, func(r RowsRead) {
		l.readInFlight = false
		if r.Outcome == structs.OutcomeDone {
			l.applyRows(s, r.Rows)
			l.confirmTakeover(s, r.StoreMS)
			l.considerTakeover(s, r.StoreMS)
			l.considerChallengeWithoutLoad(s, r.StoreMS)
		}
	})
}

// applyRows applies leadership rows. A leader steps down if another host leads,
// and releases leadership if another host has challenged it.
func (l *leadership) applyRows(s *State, rows []Row) {
	for _, r := range rows {
		switch v := r.Value.(type) {
		case LeaderRow:
			if r.Version > l.leaderVersion {
				if v.Epoch != l.leader.Epoch {
					s.logDecision(Decision{Part: "leader", Action: "leader seen", Subject: v.Host, Where: l.shard.String(), Number: uint64(v.Epoch)})
				}
				l.leader, l.leaderVersion = v, r.Version
				s.shards.strongest = max(s.shards.strongest, v.Strongest)
			}
		case LeaseRow:
			if r.Version > l.leaseVersion {
				l.lease, l.leaseVersion = v, r.Version
			}
		case ChallengeRow:
			l.challenge = v
			s.shards.strongest = max(s.shards.strongest, v.Processors)
		case UsedWorkersRow:
			l.usedWorkers = v
		case PressuresRow:
			l.pressures = v
		}
	}
	timers.TrackSince(&l.vacantSince, l.lease.ExpiresMS == 0, s.now)
	leader := s.leaderOf(l.shard)
	if leader == nil {
		return
	}
	if l.leader.Instance != s.self.Instance {
		leader.stepDown("another host leads")
		return
	}
	if l.challenge.Epoch == leader.epoch && s.yieldsTo(l.challenge) {
		leader.releaseLeadership("challenged by another host")
	}
}

// isWeak reports whether a much stronger host is known to have led or to challenge.
func (s *State) isWeak() bool { return s.self.Processors < weakHostRatio*s.shards.strongest }

// yieldsTo reports whether this host releases a shard to a challenger: a much stronger
// host, or one that leads at least two shards fewer and is not much weaker.
func (s *State) yieldsTo(c ChallengeRow) bool {
	if s.self.Processors < weakHostRatio*c.Processors {
		return true
	}
	return s.keptShards() >= c.Leads+2 && c.Processors >= weakHostRatio*s.self.Processors
}

// keptShards returns how many shards the host leads and is not releasing.
func (s *State) keptShards() int {
	n := 0
	for _, l := range s.leaders {
		if l.commits.releaseReason == "" {
			n++
		}
	}
	return n
}

// considerTakeover takes over when no host holds the lease.
func (l *leadership) considerTakeover(s *State, storeMS int64) {
	if s.leaderOf(l.shard) != nil || s.stopping || s.shards.takeover {
		return
	}
	released := l.lease.ExpiresMS == 0
	vacantFor := time.Duration(storeMS-l.lease.ExpiresMS)*time.Millisecond - leaderLeaseMargin
	if released {
		vacantFor = s.now - l.vacantSince
	}
	readableFor := s.now - s.shards.readableSince
	switch {
	case vacantFor < 0 || vacantFor < l.takeoverDelay(s):
	case !released && readableFor < minReadableTime:
	case s.isWeak() && min(vacantFor, readableFor-minReadableTime) < weakTakeoverDelay:
	default:
		l.takeOver(s, storeMS)
	}
}

// takeoverDelay returns how long this host leaves a vacant shard to hosts that lead
// fewer shards and, if it has never had a leader, to stronger ones.
func (l *leadership) takeoverDelay(s *State) time.Duration {
	led := time.Duration(len(s.leaders))
	delay := led * busyTakeoverDelay
	if l.leader.Epoch == 0 {
		delay = led*firstBusyDelay + min(time.Duration(float64(firstTakeoverDelay)/max(s.self.Processors, 0.01)), maxFirstTakeoverDelay)
	}
	return delay
}

// considerChallenge asks the leader of a shard that its load shows to release the shard.
func (l *leadership) considerChallenge(s *State) {
	load := s.shards.loads[l.shard]
	l.challengeLeader(s, seenLeader{load.Host, load.Epoch, load.Processors, load.Leads})
}

// considerChallengeWithoutLoad asks the leader that the leadership rows show. It writes no
// load before it has read its state, which takes long over a slow link.
func (l *leadership) considerChallengeWithoutLoad(s *State, storeMS int64) {
	if l.leader.Epoch == 0 || l.leader.Instance == s.self.Instance || s.shards.led(l.shard, s.now) || storeMS >= l.lease.ExpiresMS {
		return
	}
	l.challengeLeader(s, seenLeader{host: l.leader.Host, epoch: l.leader.Epoch, processors: l.leader.Processors})
}

// seenLeader is the leader of a shard as this host sees it.
type seenLeader struct {
	host       string
	epoch      structs.Epoch
	processors float64
	leads      int // shards that it leads; 0: not known
}

// challengeLeader asks the leader of a shard to release it if it is weak, or if it leads
// several shards and this host none.
func (l *leadership) challengeLeader(s *State, seen seenLeader) {
	if seen.epoch != l.seenEpoch {
		l.seenEpoch, l.epochSeenAt = seen.epoch, s.now
	}
	if s.stopping || seen.epoch == l.challengedEpoch || s.now-l.epochSeenAt < challengeDelay {
		return
	}
	stronger := seen.processors < weakHostRatio*s.self.Processors
	lessBusy := seen.leads >= len(s.leaders)+2 && !s.isWeak()
	if !stronger && !lessBusy {
		return
	}
	action := "asked a weaker host for the lead"
	if !stronger {
		action = "asked a busier host for the lead"
	}
	row := ChallengeRow{Host: s.self.Host, Epoch: seen.epoch, Processors: s.self.Processors, Leads: len(s.leaders)}
	l.challengedEpoch = seen.epoch
	s.logDecision(Decision{Part: "leader", Action: action, Subject: s.self.Host, Where: seen.host, Reason: l.shard.String(), Number: uint64(row.Epoch)})
	s.commit(Commit{Writes: []Write{{TableControl, l.shard.partition(), KeyChallenge, row}}}, func(c Committed) {
		if c.Outcome != structs.OutcomeDone {
			s.logDecision(Decision{Part: "leader", Action: "request for the lead did not reach the store", Subject: s.self.Host, Reason: outcomeName(c.Outcome), Number: uint64(row.Epoch)})
			l.challengedEpoch = 0
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
	s.shards.takeover = true
	attempt := takeover{epoch: l.leader.Epoch + 1, sentAt: s.now}
	row := LeaderRow{
		Host: s.self.Host, Instance: s.self.Instance, Epoch: attempt.epoch,
		Processors: s.self.Processors, Strongest: max(l.leader.Strongest, s.shards.strongest, s.self.Processors),
	}
	lease := LeaseRow{Instance: s.self.Instance, Sequence: 1, ExpiresMS: storeMS + (leaderLease + leaderLeaseMargin).Milliseconds()}
	partition := l.shard.partition()
	s.commit(Commit{
		Conditions: []Condition{{TableControl, partition, KeyLeader, l.leaderVersion}, {TableControl, partition, KeyLease, l.leaseVersion}},
		Writes:     []Write{{TableControl, partition, KeyLeader, row}, {TableControl, partition, KeyLease, lease}},
	}, func(c Committed) {
		s.shards.takeover = false
		if c.Outcome != structs.OutcomeDone {
			s.logDecision(Decision{Part: "leader", Action: "takeover did not succeed", Subject: s.self.Host, Where: l.shard.String(), Reason: outcomeName(c.Outcome), Number: uint64(row.Epoch)})
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
	l.unconfirmedTakeover, l.vacantSince = takeover{}, 0
	s.shards.strongest = max(s.shards.strongest, l.leader.Strongest)
	s.logDecision(Decision{Part: "leader", Action: "took the lead", Subject: s.self.Host, Where: l.shard.String(), Number: uint64(attempt.epoch)})
	becomeLeader(s, l, attempt, storeMS)
}

// confirmTakeover makes this host the leader when a takeover without an answer
// turns out to have taken effect. Equal versions of the leader row and the lease
// row show that nobody has written the lease since. The lease counts from the time
// at which the takeover was sent.
func (l *leadership) confirmTakeover(s *State, storeMS int64) {
	a := l.unconfirmedTakeover
	if a.epoch == 0 || s.leaderOf(l.shard) != nil || s.stopping {
		return
	}
	switch {
	case s.now >= a.sentAt+leaderLease || l.leader.Epoch > a.epoch:
		l.unconfirmedTakeover = takeover{}
	case l.leader.Epoch == a.epoch && l.leader.Instance == s.self.Instance && l.lease.Instance == s.self.Instance && l.leaseVersion == l.leaderVersion:
		l.startLeading(s, a, storeMS)
	}
}
