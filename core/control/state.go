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

	effects    []Effect
	delayed    map[uint64]Effect // emitted once their timers fire
	delays     uint64
	nextEffect EffectID
	pending    map[EffectID]completion // effects that await their outcome

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

// NewState returns the state before the first event, which must be Started.
func NewState() *State {
	return &State{
		pending: make(map[EffectID]completion), delayed: make(map[uint64]Effect), explanations: newExplanations(),
	}
}

// effectID returns a fresh identifier and registers the handler of its outcome.
func (s *State) effectID(c completion) EffectID {
	s.nextEffect++
	if c != nil {
		s.pending[s.nextEffect] = c
	}
	return s.nextEffect
}

// emit adds an effect to the result of the current event.
func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// emitAfter adds an effect to the result of a later event. Requests that failed
// are repeated with it: a port that refuses answers at once, and a repeat
// without a pause would keep a processor busy.
func (s *State) emitAfter(d time.Duration, e Effect) {
	s.delays++
	s.delayed[s.delays] = e
	s.setTimer(s.now+d, timerEmit, s.delays)
}

func (s *State) emitDelayed(number uint64) {
	if e, ok := s.delayed[number]; ok {
		delete(s.delayed, number)
		s.emit(e)
	}
}

// decide emits a decision record and keeps it for explanations.
func (s *State) decide(d DecisionRecord) {
	s.explanations.add(d)
	s.emit(d)
}

// finish passes an outcome to the handler that was registered for it. An
// outcome that comes twice, or that nobody waits for, is ignored.
func (s *State) finish(id EffectID, result EventBody) {
	c, ok := s.pending[id]
	if !ok {
		return
	}
	delete(s.pending, id)
	c.complete(s, result)
}

// jitter returns a reproducible number in [0, n).
func (s *State) jitter(n int64) int64 {
	// splitmix64: one multiply-xorshift step per draw.
	s.seed += 0x9e3779b97f4a7c15
	z := s.seed
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int64(z % uint64(n))
}

// hashOf returns a hash that is the same on all hosts.
func hashOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	// FNV alone orders similar keys alike; the final mix spreads them.
	z := h.Sum64()
	z = (z ^ (z >> 33)) * 0xff51afd7ed558ccd
	z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53
	return z ^ (z >> 33)
}

// PartitionOfRack returns the partition to which the workers of a rack belong.
func PartitionOfRack(region, zone, rack string, partitions int) structs.PartitionID {
	return structs.PartitionID(hashOf("rack", region, zone, rack) % uint64(partitions))
}

// PartitionOfSlot returns the home partition of a row's task with the index. The
// tasks of a row go round the partitions: no two partitions share a rack, so
// that the loss of one rack takes few of a service's replicas.
func PartitionOfSlot(row string, index, partitions int) structs.PartitionID {
	return structs.PartitionID((hashOf("row", row) + uint64(index)) % uint64(partitions))
}
