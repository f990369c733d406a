package control

import (
	"hash/fnv"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/core/timers"
)

// State is all control state of one entry host. Only Reduce changes it.
type State struct {
	self Started
	now  Instant
	wall int64

	effects     []Effect
	delayed     map[uint64]Effect // by number; emitted when their timers fire
	lastDelayed uint64            // last number used in delayed
	nextEffect  EffectID
	pending     map[EffectID]completion // effects that await their outcome

	timers timers.Queue[timer]
	seed   uint64

	store        storeState
	members      membership
	partitions   []*partition // by partition id
	config       configState
	hosts        hostList
	routes       routeTable
	calls        callState
	claims       claimState
	explanations explanations
	drain        drainState
}

// completion handles the outcome of one effect. Implementations are small
// structs that hold what the handler needs to know.
type completion interface {
	complete(s *State, result EventBody)
}

// NewState returns an empty state. The first event applied to it must be
// Started.
func NewState() *State {
	return &State{
		pending: make(map[EffectID]completion), delayed: make(map[uint64]Effect), explanations: newExplanations(),
	}
}

// effectID returns a new effect identifier and registers the handler of its
// outcome; nil ignores the outcome.
func (s *State) effectID(c completion) EffectID {
	s.nextEffect++
	if c != nil {
		s.pending[s.nextEffect] = c
	}
	return s.nextEffect
}

// emit adds an effect to the result of the current event.
func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// emitAfter emits an effect after a delay. Failed requests are retried with it:
// a closed port refuses immediately, and retrying without a delay would keep a
// processor busy.
func (s *State) emitAfter(d time.Duration, e Effect) {
	s.lastDelayed++
	s.delayed[s.lastDelayed] = e
	s.setTimer(s.now+d, timerEmit, s.lastDelayed)
}

func (s *State) emitDelayed(number uint64) {
	if e, ok := s.delayed[number]; ok {
		delete(s.delayed, number)
		s.emit(e)
	}
}

// recordDecision emits a decision record and stores it for ExplainRequested.
func (s *State) recordDecision(d DecisionRecord) {
	d.Reason = shortened(d.Reason, maxReasonBytes)
	d.Subject, d.Where = shortened(d.Subject, maxSubjectBytes), shortened(d.Where, maxSubjectBytes)
	s.explanations.add(d)
	s.emit(d)
}

// completeEffect passes an outcome to its registered handler. A duplicate
// outcome, or one without a handler, is ignored.
func (s *State) completeEffect(id EffectID, result EventBody) {
	c, ok := s.pending[id]
	if !ok {
		return
	}
	delete(s.pending, id)
	c.complete(s, result)
}

// jitter returns a pseudo-random number in [0, n) that depends only on the seed
// in Started and the number of earlier draws.
func (s *State) jitter(n int64) int64 {
	// splitmix64: one multiply-xorshift step per draw.
	s.seed += 0x9e3779b97f4a7c15
	z := s.seed
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int64(z % uint64(n))
}

// hashOf returns a hash of the parts that is the same on all hosts.
func hashOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	// FNV alone gives similar keys a similar order; the final mix spreads them.
	z := h.Sum64()
	z = (z ^ (z >> 33)) * 0xff51afd7ed558ccd
	z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53
	return z ^ (z >> 33)
}

// PartitionOfRack returns the partition that manages the workers of a rack.
func PartitionOfRack(region, zone, rack string, partitions int) structs.PartitionID {
	return structs.PartitionID(hashOf("rack", region, zone, rack) % uint64(partitions))
}

// HomePartition returns the home partition of the task at an index of a row.
// The tasks of a row are assigned to the partitions round-robin. Each rack
// belongs to one partition only, so the loss of a rack takes few of a service's
// replicas.
func HomePartition(row string, index, partitions int) structs.PartitionID {
	return structs.PartitionID((hashOf("row", row) + uint64(index)) % uint64(partitions))
}
