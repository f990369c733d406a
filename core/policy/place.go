package policy

import "github.com/tamarackstep/tamarackstep/core/structs"

// Candidate describes one worker to Filter and Score.
type Candidate struct {
	Capacity       structs.Resources
	Committed      structs.Resources
	Accepting      bool // listed, not leaving, answering and not quarantined
	OnTrial        bool // was quarantined: takes one task at a time until a run succeeds
	Tasks          int  // tasks committed on the worker
	BatchThrottled bool // batch is throttled there for a service
	Reserved       bool // tasks are being evicted there for more important work
	RowFull        bool // its row holds no further commitment

	SameWorker    int     // tasks of the same row on this worker
	SameRack      int     // tasks of the same row in this rack
	SameZone      int     // tasks of the same row in this availability zone
	FailedHere    bool    // a run of this task failed there before
	OthersUntried bool    // the task should wait for a worker on which it did not fail
	Interference  float64 // see Interference.Mutual; 0: none expected
}

// Demand describes the task to place.
type Demand struct {
	Kind        structs.RowKind
	Request     structs.Resources
	SizeUnknown bool // the usage of its row is not learned yet
	Urgent      bool // may start on a worker that throttles batch, but not on one that is on trial
}

// Refusal is the reason for which a worker cannot take a task; empty when it can.
type Refusal string

// InterferenceWeight is the penalty in Score for an expected slowdown of 1, which is
// twice the run time.
const InterferenceWeight = 10.0

// The refusals that Filter returns, and NoCapacity for a task that no worker can
// take.
const (
	Fits                Refusal = ""
	NotAccepting        Refusal = "not accepting work"
	FailedBefore        Refusal = "failed there before"
	OnTrial             Refusal = "on trial after failed runs"
	ReservedForOthers   Refusal = "held for more important work"
	ThrottledForService Refusal = "held back for a service"
	NoCapacity          Refusal = "no worker has room"
	RowFull             Refusal = "as many tasks as its row holds"
	NoProcessors        Refusal = "no processors left"
	NoMemory            Refusal = "no memory left"
	NoAccelerators      Refusal = "no accelerators left"
)

const (
	zoneWeight          = 4.0 // losing a zone costs the most replicas at once
	rackWeight          = 2.0
	workerWeight        = 3.0
	failedWeight        = 50.0 // largest of all: the task would probably fail there again
	throttledWeight     = 20.0 // urgent batch goes to a worker with slowed-down services only as a last resort
	batchPackWeight     = 1.0
	serviceSpreadWeight = 1.0
	resourceComponents  = 3.0 // number of components of structs.Resources
)

// Filter returns why the worker cannot take the task, or Fits.
func Filter(d Demand, c Candidate) Refusal {
	free := c.Capacity.Sub(c.Committed)
	switch {
	case !c.Accepting:
		return NotAccepting
	case c.FailedHere && c.OthersUntried:
		return FailedBefore
	case c.OnTrial && (c.Tasks > 0 || d.Urgent):
		return OnTrial
	case c.Reserved:
		return ReservedForOthers
	case c.BatchThrottled && d.Kind == structs.KindBatch && !d.Urgent:
		return ThrottledForService
	case c.RowFull:
		return RowFull
	case d.Request.MilliCores > free.MilliCores:
		return NoProcessors
	case d.Request.MemoryMB > free.MemoryMB:
		return NoMemory
	case d.Request.Accelerators > free.Accelerators:
		return NoAccelerators
	}
	return Fits
}

// Score rates how well the worker suits the task; higher is better. Replicas
// spread over zones, racks and workers and prefer workers with free capacity;
// batch fills workers up, so that others keep enough free capacity for large
// tasks.
func Score(d Demand, c Candidate) float64 {
	score := -InterferenceWeight * c.Interference
	if c.FailedHere {
		score -= failedWeight
	}
	if c.BatchThrottled && d.Kind == structs.KindBatch {
		score -= throttledWeight
	}
	load := utilization(c.Committed.Add(d.Request), c.Capacity)
	if d.Kind == structs.KindService {
		score -= zoneWeight*float64(c.SameZone) + rackWeight*float64(c.SameRack) + workerWeight*float64(c.SameWorker)
		return score - serviceSpreadWeight*load
	}
	if d.SizeUnknown {
		// The declared size may be far too small, so the first tasks of a row
		// go to different workers.
		score -= workerWeight * float64(c.SameWorker)
	}
	return score + batchPackWeight*load
}

// utilization returns the mean used share over all components. A component that
// the worker does not have counts as 0.
func utilization(used, capacity structs.Resources) float64 {
	share := func(u, c int64) float64 {
		if c <= 0 {
			return 0
		}
		return float64(u) / float64(c)
	}
	return (share(used.MilliCores, capacity.MilliCores) + share(used.MemoryMB, capacity.MemoryMB) +
		share(used.Accelerators, capacity.Accelerators)) / resourceComponents
}

// LoadLevel returns the load level for a committed share of processors.
func LoadLevel(used, capacity structs.Resources) Level {
	if capacity.MilliCores <= 0 {
		return 0
	}
	switch share := float64(used.MilliCores) / float64(capacity.MilliCores); {
	case share < lowLoad:
		return 0
	case share < highLoad:
		return 1
	}
	return LevelCount - 1
}

// FitCount returns how many requests fit into free, taken as one worker.
func FitCount(request, free structs.Resources) int64 {
	n := int64(1) << 40
	for _, c := range [][2]int64{
		{request.MilliCores, free.MilliCores}, {request.MemoryMB, free.MemoryMB}, {request.Accelerators, free.Accelerators},
	} {
		if c[0] > 0 {
			n = min(n, max(c[1], 0)/c[0])
		}
	}
	return n
}

// MaxResources returns the component-wise maximum.
func MaxResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCores: max(a.MilliCores, b.MilliCores), MemoryMB: max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
