package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	claimTimeout     = 1 * time.Second // a call whose claim takes longer is answered as not run
	maxClaimKeyBytes = 255             // bytes of an idempotency key
	maxClaims        = 16384           // claims in memory; further keyed calls are answered as not run
	maxRecordedBody  = 16 << 10        // bytes of an answer's body stored in the claim's row
	// maxRecordedContentType bounds the type of a recorded body, in bytes; a body with a
	// longer one is not recorded.
	maxRecordedContentType = 256
)

// claimOp is the next write to a claim's row.
type claimOp uint8

const (
	claimOpNone    claimOp = iota // nothing to write; the claim is held while its call runs, or no longer needed
	claimOpAcquire                // write ClaimHeld
	claimOpRelease                // write ClaimReleased
	claimOpRecord                 // write ClaimFinished or ClaimUnknown
)

// claim is the durable claim on one keyed call: a call that is not idempotent
// and has an idempotency key. It is kept in memory until its row needs no
// further write.
//
// Invariants: the call is dispatched only while the row is known to be held
// under this claim's token, which is the row's host, instance and attempt. Only
// this instance changes a row held under the token. Versions of a row only
// grow, and rows are never deleted, so of several attempts of one write at most
// one takes effect. Deleting rows by age would need an age that does not depend
// on the wall clock of one host.
type claim struct {
	key     structs.RowKey
	row     structs.ClaimRow // as last written, or as op writes it
	version structs.Version  // condition of the next write
	op      claimOp
	sent    bool  // the write is part of the transaction in flight
	call    *call // nil after the call was refused or ended
}

// claimState holds the claims of this host and the queue of their writes.
type claimState struct {
	byKey          map[structs.RowKey]*claim
	lastAttempt    uint64 // last attempt number used in a token
	queue          []*claim
	inFlight       *claimCommit
	flushScheduled bool
	nextFlush      Instant // earliest time of the next transaction
	failures       int     // consecutive transactions that did not take effect
	batchLimit     int     // claims in one transaction while a rejected one is isolated; 0: no limit
}

func newClaimState() claimState { return claimState{byKey: make(map[structs.RowKey]*claim)} }

// pending returns the number of claims that are not settled.
func (cs *claimState) pending() int { return len(cs.byKey) }

// claimCall starts a durable claim on a keyed call. The call is dispatched when
// the claim is stored.
func (s *State) claimCall(c *call) {
	key := structs.ClaimKey(c.service.name, c.request.Key)
	cs := &s.claims
	known := cs.byKey[key]
	switch {
	case known != nil && known.call == nil && known.op != claimOpRecord:
		// An earlier call with the key was refused and its claim is not yet released.
		s.answerNotRun(c, "the claim of an earlier call is being released", defaultRetryAfter)
		return
	case known != nil:
		s.answerRepeat(c, known.row)
		return
	case len(c.request.Key) > maxClaimKeyBytes:
		s.recordCallDecision(c, "refused", "", "idempotency key too long")
		s.emit(AnswerCall{Call: c.id, Kind: AnswerInvalid, Status: statusInvalid, Reason: "idempotency key too long"})
		s.endCall(c)
		return
	case !s.store.reachable():
		s.answerNotRun(c, "orders cannot be claimed: the store is unreachable", defaultRetryAfter)
		return
	case len(cs.byKey) >= maxClaims:
		s.answerNotRun(c, "too many orders in progress", defaultRetryAfter)
		return
	}
	cs.lastAttempt++
	cl := &claim{key: key, call: c, op: claimOpAcquire, row: structs.ClaimRow{
		Service: c.service.name, Key: c.request.Key, Host: s.self.Host, Instance: s.self.Instance,
		Attempt: cs.lastAttempt, State: structs.ClaimHeld,
	}}
	c.claim, c.phase = cl, callClaiming
	cs.byKey[key] = cl
	s.submitClaim(cl)
	s.setTimer(min(s.now+claimTimeout, c.deadline), timerClaimTimeout, uint64(c.id))
}

// claimTimedOut refuses a call whose claim did not become durable in time. If
// the claim is stored later, it is released.
func (s *State) claimTimedOut(id CallID) {
	if c, ok := s.calls.byID[id]; ok && c.phase == callClaiming {
		s.answerNotRun(c, "the store did not confirm the claim in time", defaultRetryAfter)
	}
}

// answerRepeat answers a keyed call according to the claim's row of an earlier
// call with the same key.
func (s *State) answerRepeat(c *call, row structs.ClaimRow) {
	c.claim = nil
	if row.State != structs.ClaimFinished {
		s.answerUnknown(c, statusConflict, "the same order is in progress or its outcome was never learned")
		return
	}
	s.recordCallDecision(c, "answered from the record", "", "the order already ran")
	reason := ""
	if row.BodyOmitted {
		reason = "the recorded answer was too large to keep"
	}
	s.emit(AnswerCall{
		Call: c.id, Kind: AnswerRecorded, Status: row.Status, ContentType: row.ContentType, Body: row.Body, Reason: reason,
	})
	s.endCall(c)
}

// releaseClaim ends the claim of a call that did not run.
func (s *State) releaseClaim(cl *claim) {
	cl.call = nil
	switch {
	case cl.op == claimOpAcquire && !cl.sent:
		s.forgetClaim(cl) // takeBatch skips it
	case cl.op == claimOpAcquire:
		// claimCommitted releases it if the transaction in flight commits.
	default:
		cl.op, cl.row.State = claimOpRelease, structs.ClaimReleased
		s.submitClaim(cl)
	}
}

// finishClaim stores the result of a keyed call that ran or may have run.
func (s *State) finishClaim(cl *claim, state structs.ClaimState, r AnswerFinished) {
	cl.call, cl.op = nil, claimOpRecord
	cl.row.State = state
	cl.row.Status, cl.row.ContentType, cl.row.BodyOmitted = r.Status, r.ContentType, r.BodyOmitted
	if len(r.Body) > maxRecordedBody || len(r.ContentType) > maxRecordedContentType {
		cl.row.ContentType, cl.row.BodyOmitted = "", true
	} else {
		cl.row.Body = r.Body
	}
	s.submitClaim(cl)
}

// forgetClaim removes a claim whose row needs no further write.
func (s *State) forgetClaim(cl *claim) {
	cl.op = claimOpNone
	if s.claims.byKey[cl.key] == cl {
		delete(s.claims.byKey, cl.key)
	}
	s.endDrainIfIdle()
}

// claimCommitted handles a write that took effect: a new claim lets its call be
// dispatched, or is released if the call has ended.
func (s *State) claimCommitted(cl *claim, version structs.Version) {
	cl.version, cl.sent = version, false
	if cl.op != claimOpAcquire {
		s.forgetClaim(cl)
		return
	}
	cl.op = claimOpNone
	if cl.call == nil {
		s.releaseClaim(cl)
		return
	}
	cl.call.phase = 0
	s.route(cl.call)
}

// claimRejected handles a write that the store refuses for good: a new claim's call
// is answered as not run, a result is recorded without its body.
func (s *State) claimRejected(cl *claim) {
	cl.sent = false
	switch {
	case cl.op == claimOpAcquire && cl.call != nil:
		s.answerNotRun(cl.call, "the store refuses the order's claim", 0)
	case cl.op == claimOpRecord && !cl.row.BodyOmitted:
		cl.row.Body, cl.row.ContentType, cl.row.BodyOmitted = nil, "", true
		s.submitClaim(cl)
	default:
		// The row stays held under this claim's token, so that a repeat is answered as unknown.
		s.recordDecision(DecisionRecord{Part: "routing", Action: "result not recorded", Subject: string(cl.key), Reason: "the store refuses it"})
		s.forgetClaim(cl)
	}
}

// claimConflicted handles a write that did not take effect because the row has
// another version than expected.
func (s *State) claimConflicted(cl *claim, found Conflict) {
	cl.sent = false
	row, _ := found.Row.(structs.ClaimRow)
	if cl.op != claimOpAcquire {
		// The row was held under this claim's token, so no other host can have
		// changed it unless a release took effect.
		if cl.op == claimOpRecord {
			s.recordDecision(DecisionRecord{Part: "routing", Action: "result not recorded", Subject: string(cl.key), Reason: "the claim's row was changed by another"})
		}
		s.forgetClaim(cl)
		return
	}
	if cl.call == nil {
		s.forgetClaim(cl)
		return
	}
	if found.Version == 0 || row.State == structs.ClaimReleased {
		cl.version = found.Version
		s.submitClaim(cl)
		return
	}
	c := cl.call
	cl.call = nil
	s.forgetClaim(cl)
	s.answerRepeat(c, row)
}
