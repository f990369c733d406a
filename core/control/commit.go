package control

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	storeTimeout      = 1 * time.Second
	minCommitRetry    = 50 * time.Millisecond
	maxCommitRetry    = 1 * time.Second
	storeFailureLimit = 3 // consecutive failures after which the store counts as unreachable
)

// storeState tracks the reachability of the platform's store and the
// transactions that wait for a retry.
type storeState struct {
	failures     int
	transactions map[uint64]*transaction // waiting for a retry, by number
	lastNumber   uint64
	unreadable   map[structs.RowKey]structs.Version // rows reported as unreadable
}

func (st *storeState) start(*State) {
	st.transactions = make(map[uint64]*transaction)
	st.unreadable = make(map[structs.RowKey]structs.Version)
}

// reachable reports whether one of the last storeFailureLimit requests to the
// store was answered.
func (st *storeState) reachable() bool { return st.failures < storeFailureLimit }

// observeStore records the outcome of a request to the store.
func (s *State) observeStore(o Outcome) {
	before := s.store.reachable()
	if o == OutcomeDone {
		s.store.failures = 0
	} else {
		s.store.failures++
	}
	if after := s.store.reachable(); after != before {
		action := "store is unreachable"
		if after {
			action = "store answers again"
		}
		s.recordDecision(DecisionRecord{Part: "store", Action: action, Subject: string(s.self.Host)})
	}
}

// transaction is a commit that is retried under the same conditions until its
// outcome is known.
//
// Invariant: each transaction's conditions include the version of a row that it
// writes itself, so at most one of its attempts takes effect.
type transaction struct {
	number     uint64
	conditions []structs.Condition
	writes     []structs.Write
	owner      transactionOwner
	attempts   int
	unknown    bool // an earlier attempt may have taken effect
}

// transactionOwner handles the outcome of a transaction.
type transactionOwner interface {
	// committed reports that the transaction took effect at the revision.
	committed(s *State, revision structs.Version)
	// conflicted reports that the conditions do not hold. When unknown is set, an
	// earlier attempt may be the cause: the owner looks for its own write in the
	// conflicting rows.
	conflicted(s *State, conflicts []Conflict, unknown bool)
	// rejected reports that the store refuses the content of the transaction for
	// good. An earlier attempt with an unknown outcome had the same content.
	rejected(s *State)
	// shouldRetry reports whether to retry after an attempt that failed or got no
	// answer. An owner that returns false is not told the outcome.
	shouldRetry(s *State, unknown bool) bool
}

// commit starts a transaction.
func (s *State) commit(conditions []structs.Condition, writes []structs.Write, owner transactionOwner) {
	s.store.lastNumber++
	t := &transaction{number: s.store.lastNumber, conditions: conditions, writes: writes, owner: owner}
	s.sendTransaction(t)
}

func (s *State) sendTransaction(t *transaction) {
	t.attempts++
	s.emit(Commit{ID: s.effectID(t), Conditions: t.conditions, Writes: t.writes, Timeout: storeTimeout})
}

// complete handles the outcome of one attempt.
func (t *transaction) complete(s *State, result EventBody) {
	r := result.(Committed)
	if len(r.Conflicts) > 0 {
		s.observeStore(OutcomeDone)
		t.owner.conflicted(s, r.Conflicts, t.unknown)
		return
	}
	if r.Rejected {
		s.observeStore(OutcomeDone)
		s.recordDecision(DecisionRecord{
			Part: "store", Action: "transaction rejected", Subject: string(t.writes[0].Key),
			Reason: fmt.Sprintf("%d rows, refused for good", len(t.writes)),
		})
		t.owner.rejected(s)
		return
	}
	s.observeStore(r.Outcome)
	if r.Outcome == OutcomeDone {
		t.owner.committed(s, r.Revision)
		return
	}
	if r.Outcome == OutcomeUnknown {
		t.unknown = true
	}
	if !t.owner.shouldRetry(s, t.unknown) {
		return
	}
	s.store.transactions[t.number] = t
	s.setTimer(s.now+s.retryDelay(t.attempts), timerRetryCommit, t.number)
}

// retryDelay grows exponentially from minCommitRetry to maxCommitRetry, with
// jitter so that hosts do not retry at the same time.
func (s *State) retryDelay(attempts int) time.Duration {
	d := minCommitRetry << min(attempts-1, 10)
	if d > maxCommitRetry {
		d = maxCommitRetry
	}
	return d/2 + time.Duration(s.jitter(int64(d)))
}

func (s *State) retryTransaction(number uint64) {
	t, ok := s.store.transactions[number]
	if !ok {
		return
	}
	delete(s.store.transactions, number)
	s.sendTransaction(t)
}

// entryFrameBytes bounds the encoded size of a write and its condition besides the
// key and the row.
const entryFrameBytes = 128

// entryBytes returns an upper bound of the encoded size of a write and its condition.
func entryBytes(w structs.Write) int {
	return 2*structs.TextBytes(string(w.Key)) + structs.RowBytes(w.Row) + entryFrameBytes
}

// findConflict returns the conflicting row with the key.
func findConflict(conflicts []Conflict, key structs.RowKey) (Conflict, bool) {
	for _, c := range conflicts {
		if c.Key == key {
			return c, true
		}
	}
	return Conflict{}, false
}
