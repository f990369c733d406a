package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	claimWritesPerSecond = 200                               // of all entry hosts together
	maxClaimsPerCommit   = structs.MaxTransactionEntries / 2 // each claim has a condition and a write
)

// submitClaim queues a claim's write for the next transaction. The queue is
// bounded by maxClaims: each claim is in it at most once.
func (s *State) submitClaim(cl *claim) {
	s.claims.queue = append(s.claims.queue, cl)
	s.scheduleClaimFlush()
}

func (s *State) scheduleClaimFlush() {
	cs := &s.claims
	if cs.flushScheduled || cs.inFlight != nil || len(cs.queue) == 0 {
		return
	}
	cs.flushScheduled = true
	s.setTimer(max(s.now, cs.nextFlush), timerClaimFlush, 0)
}

// claimSpacing returns the time between two claim transactions of this host
// that keeps all hosts together within claimWritesPerSecond.
func (s *State) claimSpacing() time.Duration {
	hosts := 1
	for _, p := range s.members.peers {
		if p.live(s.now) {
			hosts++
		}
	}
	return time.Duration(hosts) * time.Second / claimWritesPerSecond
}

// flushClaims sends the queued writes as one transaction. One transaction is in
// flight at a time.
func (s *State) flushClaims() {
	cs := &s.claims
	cs.flushScheduled = false
	if cs.inFlight != nil {
		return
	}
	batch := cs.takeBatch()
	if len(batch) == 0 {
		return
	}
	conditions := make([]structs.Condition, len(batch))
	writes := make([]structs.Write, len(batch))
	for i, cl := range batch {
		cl.sent = true
		conditions[i] = structs.Condition{Key: cl.key, Version: cl.version}
		writes[i] = structs.Write{Key: cl.key, Row: cl.row}
	}
	cs.nextFlush = s.now + s.claimSpacing()
	cs.inFlight = &claimCommit{claims: batch}
	s.commit(conditions, writes, cs.inFlight)
}

// takeBatch removes the claims of the next transaction from the queue: as many as
// the store's limits allow. It skips claims whose call was refused before they were
// sent.
func (cs *claimState) takeBatch() []*claim {
	var batch []*claim
	n, size, limit := 0, 0, maxClaimsPerCommit
	if cs.batchLimit > 0 {
		limit = min(limit, cs.batchLimit)
	}
	for ; n < len(cs.queue) && len(batch) < limit; n++ {
		cl := cs.queue[n]
		if cl.op == claimOpNone {
			continue
		}
		size += entryBytes(structs.Write{Key: cl.key, Row: cl.row})
		if size > structs.MaxTransactionBytes {
			break
		}
		batch = append(batch, cl)
	}
	cs.queue = append(cs.queue[:0:0], cs.queue[n:]...)
	return batch
}

// claimCommit is the transaction in flight for claims. Each row identifies its
// own write, since it contains the claim's token and state.
type claimCommit struct{ claims []*claim }

func (t *claimCommit) committed(s *State, revision structs.Version) {
	s.claimCommitEnded()
	if s.claims.batchLimit *= 2; s.claims.batchLimit >= maxClaimsPerCommit {
		s.claims.batchLimit = 0
	}
	for _, cl := range t.claims {
		s.claimCommitted(cl, revision)
	}
	s.scheduleClaimFlush()
}

// rejected isolates the claim that the store refuses, by halves, so that the others
// are stored.
func (t *claimCommit) rejected(s *State) {
	s.claimCommitEnded()
	if len(t.claims) == 1 {
		s.claimRejected(t.claims[0])
	} else {
		s.claims.batchLimit = len(t.claims) / 2
		s.requeueClaims(t.claims)
	}
	s.scheduleClaimFlush()
}

// requeueClaims returns the writes of a transaction that did not take effect to the
// queue, except new claims whose call has ended.
func (s *State) requeueClaims(claims []*claim) {
	var again []*claim
	for _, cl := range claims {
		cl.sent = false
		if cl.op == claimOpAcquire && cl.call == nil {
			s.forgetClaim(cl)
			continue
		}
		again = append(again, cl)
	}
	s.claims.queue = append(again, s.claims.queue...)
}

// conflicted resolves the rows in conflict and submits the others again. No
// attempt of the transaction can take effect after this answer: a row that is
// not in conflict was not written, and a row in conflict has a newer version.
func (t *claimCommit) conflicted(s *State, conflicts []Conflict, _ bool) {
	s.claimCommitEnded()
	found := make(map[structs.RowKey]Conflict, len(conflicts))
	for _, c := range conflicts {
		found[c.Key] = c
	}
	var again []*claim
	for _, cl := range t.claims {
		c, ok := found[cl.key]
		row, _ := c.Row.(structs.ClaimRow)
		switch {
		case !ok && cl.op == claimOpAcquire && cl.call == nil:
			s.forgetClaim(cl)
		case !ok:
			cl.sent = false
			again = append(again, cl)
		case sameClaim(row, cl.row):
			s.claimCommitted(cl, c.Version)
		default:
			s.claimConflicted(cl, c)
		}
	}
	s.claims.queue = append(again, s.claims.queue...)
	s.scheduleClaimFlush()
}

// shouldRetry reports true while an earlier attempt may still take effect.
// Otherwise it returns the writes to the queue, except new claims whose call
// has ended.
func (t *claimCommit) shouldRetry(s *State, unknown bool) bool {
	if unknown {
		return true
	}
	cs := &s.claims
	cs.inFlight = nil
	cs.failures++
	s.requeueClaims(t.claims)
	cs.nextFlush = s.now + s.retryDelay(cs.failures)
	s.scheduleClaimFlush()
	return false
}

func (s *State) claimCommitEnded() {
	s.claims.inFlight, s.claims.failures = nil, 0
}

// sameClaim reports whether a row has the token and the state of a write, so
// that an earlier attempt of the write took effect.
func sameClaim(row, wanted structs.ClaimRow) bool {
	return row.Host == wanted.Host && row.Instance == wanted.Instance && row.Attempt == wanted.Attempt &&
		row.State == wanted.State
}
