package control

import (
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	taskLease          = 15 * time.Second
	startValidity      = 5 * time.Second // the worker refuses a start that arrives later
	workerTimeout      = 2 * time.Second
	workerSyncInterval = 1 * time.Second
	// workerUnresponsiveAfter is how long a worker may leave synchronizations
	// unanswered before its replicas are replaced: two timeouts and a step.
	workerUnresponsiveAfter = 5 * time.Second
	minMissedSyncs          = 2               // required in addition, so that a pause of this host does not count against the worker
	watchdogDelay           = 2 * time.Second // maximum delay after the end of a lease until the worker has stopped the run
	clockDriftPercent       = 2               // maximum drift between the clocks of a worker and an entry host
)

// workerState is a worker of the partition with its commitments, including those
// that are not yet durable.
type workerState struct {
	id         structs.WorkerID
	spec       structs.Worker // according to the last host list
	listed     bool           // in this partition
	movedAway  bool           // listed in a rack of another partition; treated like a leaving worker
	row        structs.WorkerRow
	committed  structs.Resources
	restoreRow bool     // its row could not be read; the commitments are those of its tasks
	rowBytes   int      // upper bound of the encoded size of row's commitments
	rowNames   []string // sheet row of each commitment, in the same order; empty until adopted

	boot           string        // empty until the first answer to this owner
	clock          time.Duration // worker clock reading in the last answer
	answeredAt     Instant       // when that answer arrived
	leaseUntil     time.Duration // on the worker's clock; no lease ends later
	missedSyncs    int           // consecutive synchronizations without an answer
	unresponsive   bool          // it does not answer and its replicas were replaced
	reportsLeaving bool          // the worker reports that it is leaving
	syncing        bool
	syncedAt       Instant // when the last synchronization was sent
	latencyRatio   float64 // highest latency of its services in the last measurements, as a share of the target

	pendingEvictions int                // evictions in progress there for other work
	evictingFor      structs.Importance // importance of the work that they are for

	health   policy.WorkerHealth
	throttle policy.BatchThrottle
	pastRuns []pastRun // ended recently, oldest first
}

// clockNow returns a reading that the worker's clock has certainly reached: the
// clock was read before the last answer arrived and is slow by at most the drift.
// A lease based on it is never longer than taskLease.
func (w *workerState) clockNow(now Instant) time.Duration {
	return w.clock + (now-w.answeredAt)*(100-clockDriftPercent)/100
}

// isLeaving reports whether the worker accepts no new work because it is leaving
// or has moved to another partition.
func (w *workerState) isLeaving() bool {
	return w.reportsLeaving || w.movedAway || w.spec.State == structs.HostLeaving
}

// accepting reports whether tasks may be placed on the worker.
func (w *workerState) accepting() bool {
	return w.listed && w.boot != "" && !w.unresponsive && !w.isLeaving() && !w.health.Quarantined
}

// addWorker adds a worker without commitments and keeps workerList in order of
// id.
func (t *taskState) addWorker(id structs.WorkerID) *workerState {
	w := &workerState{id: id, row: structs.WorkerRow{Worker: id}, spec: structs.Worker{ID: id}}
	t.workers[id] = w
	i := sort.Search(len(t.workerList), func(i int) bool { return t.workerList[i].id >= id })
	t.workerList = append(t.workerList, nil)
	copy(t.workerList[i+1:], t.workerList[i:])
	t.workerList[i] = w
	return w
}

// commit adds the commitment of a run. The slice is copied because earlier
// changes that are not yet durable refer to the old one.
func (w *workerState) commit(c structs.Commitment, name string) {
	old := w.row.Commitments
	w.row.Commitments = append(old[:len(old):len(old)], c)
	w.rowNames = append(w.rowNames, name)
	w.committed = w.committed.Add(c.Request)
	w.rowBytes += c.Bytes()
}

// rowHolds reports whether the worker's row stays within the store's limit with one
// more commitment: a worker may have room for thousands of small tasks.
func (w *workerState) rowHolds(c structs.Commitment) bool {
	return structs.WorkerRowFrame+w.rowBytes+c.Bytes() <= structs.MaxRowBytes
}

// release removes the commitment of a run and returns its resources.
func (w *workerState) release(ref RunRef) (structs.Resources, bool) {
	for i, c := range w.row.Commitments {
		if c.Task != ref.Task || c.Run != ref.Run {
			continue
		}
		rest := make([]structs.Commitment, 0, len(w.row.Commitments)-1)
		w.row.Commitments = append(append(rest, w.row.Commitments[:i]...), w.row.Commitments[i+1:]...)
		w.rowNames = append(w.rowNames[:i], w.rowNames[i+1:]...)
		w.committed = w.committed.Sub(c.Request)
		w.rowBytes -= c.Bytes()
		return c.Request, true
	}
	return structs.Resources{}, false
}

// hostListChanged applies a new host list.
func (s *State) hostListChanged() {
	s.updateWorkers()
	for _, p := range s.partitions {
		if p.owned != nil && p.owned.loaded {
			s.capacityChanged(p.owned)
		}
	}
}

// updateWorkers updates the workers of all owned partitions from the host list.
func (s *State) updateWorkers() {
	capacities := s.workerCapacities()
	for _, p := range s.partitions {
		if p.owned == nil || !p.owned.loaded {
			continue
		}
		p.owned.tasks.workerCapacities = capacities
		for _, w := range p.owned.tasks.workerList {
			w.listed = false
		}
	}
	for _, spec := range s.hosts.workers {
		o := s.partitions[PartitionOfRack(spec.Region, spec.Zone, spec.Rack, len(s.partitions))].owned
		if o != nil && o.loaded {
			s.updateListedWorker(o, spec)
		}
	}
	for _, p := range s.partitions {
		if p.owned != nil && p.owned.loaded {
			s.dropUnlisted(p.owned)
		}
	}
}

// updateListedWorker updates a worker that the host list places in the partition.
func (s *State) updateListedWorker(o *ownedPartition, spec structs.Worker) {
	w := o.tasks.workers[spec.ID]
	if w == nil {
		w = o.tasks.addWorker(spec.ID)
	}
	wasLeaving := w.isLeaving()
	changed := w.spec != spec
	w.spec, w.listed, w.movedAway = spec, true, false
	if w.isLeaving() && !wasLeaving && o.tasks.adopted {
		s.evacuateWorker(o, w)
	}
	if changed {
		s.targetsChanged(o)
	}
}

// dropUnlisted removes workers that are neither listed in this partition nor hold
// a commitment, and deletes their rows. A worker that moved to a rack of another
// partition is synchronized until its runs here have ended.
func (s *State) dropUnlisted(o *ownedPartition) {
	t := &o.tasks
	kept := t.workerList[:0]
	for _, w := range t.workerList {
		if spec, ok := s.hosts.worker(w.id); ok && !w.listed {
			wasLeaving := w.isLeaving()
			w.spec, w.movedAway = spec, true
			if !wasLeaving && t.adopted {
				s.evacuateWorker(o, w)
			}
		}
		if !w.listed && len(w.row.Commitments) == 0 && !w.syncing {
			delete(t.workers, w.id)
			if key := structs.WorkerKey(o.partition.id, w.id); o.versions[key] > 0 && s.hosts.readAt > 0 {
				s.submit(o, change{writes: []structs.Write{{Key: key}}})
			}
			continue
		}
		kept = append(kept, w)
	}
	t.workerList = kept
}

// workerCapacities returns the distinct capacities of the listed workers.
func (s *State) workerCapacities() []structs.Resources {
	seen := make(map[structs.Resources]bool)
	var list []structs.Resources
	for _, w := range s.hosts.workers {
		if !seen[w.Capacity] {
			seen[w.Capacity] = true
			list = append(list, w.Capacity)
		}
	}
	return list
}

// fitsAnyWorker reports whether any listed worker of the deployment is large
// enough when empty. It returns true while the host list is unknown.
func (t *taskState) fitsAnyWorker(r structs.Resources) bool {
	for _, c := range t.workerCapacities {
		if r.Fits(c) {
			return true
		}
	}
	return len(t.workerCapacities) == 0
}

// partitionCapacity returns the uncommitted capacity of the accepting workers and
// the number of pending tasks.
func (s *State) partitionCapacity(o *ownedPartition) (free structs.Resources, waiting int) {
	for _, w := range o.tasks.workerList {
		if w.accepting() {
			free = free.Add(w.spec.Capacity.Sub(w.committed))
		}
	}
	return free, o.tasks.pending
}
