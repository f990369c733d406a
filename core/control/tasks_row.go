package control

import (
	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// rowState is what an owner keeps for one row of the sheet: its waiting tasks,
// the placement of its running tasks, and learned usage.
type rowState struct {
	name        string
	sheet       structs.SheetRow // zero when the row is not in the sheet
	listed      bool
	stopped     bool
	specHash    uint64
	learnedSize policy.Size
	runTime     policy.RunTime
	resume      policy.ResumeLoss // learned loss of progress per resumption
	baseline    policy.Baseline   // service time without interference

	zones   map[string]int // committed tasks by availability zone
	racks   map[string]int
	workers map[structs.WorkerID]int

	queue            []queueEntry // waiting tasks, oldest first; may contain stale entries
	waiting          int
	inQueue          bool
	rank             policy.Rank
	pendingEvictions int    // evictions in progress to free capacity for this row
	blockedReason    string // why the tasks wait; empty until reported

	noCapacity      bool // no worker of the partition has enough free capacity
	noCapacitySince Instant
	nextTransfer    Instant // no transfer is tried earlier, because no other partition had enough free capacity
}

// rowOf returns the state of a sheet row and creates it if necessary.
func (s *State) rowOf(o *ownedPartition, name string) *rowState {
	r := o.tasks.rows[name]
	if r == nil {
		r = &rowState{
			name: name, zones: make(map[string]int), racks: make(map[string]int),
			workers: make(map[structs.WorkerID]int),
		}
		o.tasks.rows[name] = r
		s.refreshRow(o, r)
	}
	return r
}

// refreshRow updates the state from the row in the configuration in force.
func (s *State) refreshRow(o *ownedPartition, r *rowState) {
	r.sheet, r.listed = s.config.row(r.name)
	r.stopped = r.listed && sheet.IsStopped(s.config.current, r.name)
	r.specHash = specHash(r.sheet)
	key := policy.NewRank(r.sheet, r.runTime.Estimate(r.sheet.RunTimeMS))
	if key != r.rank {
		inQueue := r.inQueue
		o.tasks.queue.remove(r)
		r.rank = key
		if inQueue {
			o.tasks.queue.add(r)
		}
	}
}

// specHash returns a hash of the fields that a run is started with.
func specHash(r structs.SheetRow) uint64 {
	return hashOf("spec", string(r.Kind), r.Command, formatResources(r.Request))
}

// addPlacement counts a task of the row on the worker and in its rack and zone.
func (r *rowState) addPlacement(t *task, w *workerState) {
	if w == nil {
		return
	}
	t.run.worker, t.run.zone, t.run.rack = w.id, w.spec.Zone, w.spec.Rack
	r.zones[t.run.zone]++
	r.racks[t.run.rack]++
	r.workers[w.id]++
}

// removePlacement reverses addPlacement.
func (r *rowState) removePlacement(t *task) {
	if t.run.worker == "" {
		return
	}
	r.zones[t.run.zone]--
	r.racks[t.run.rack]--
	if r.workers[t.run.worker]--; r.workers[t.run.worker] == 0 {
		delete(r.workers, t.run.worker)
	}
}

// reservation returns the resources to commit for one task of the row: the
// learned size, or the declared one until enough measurements exist or if the
// learned one fits no worker.
func (s *State) reservation(o *ownedPartition, r *rowState) structs.Resources {
	learned := r.learnedSize.Reserve(r.sheet.Request, r.sheet.Kind)
	if !o.tasks.fitsAnyWorker(learned) {
		return r.sheet.Request
	}
	return learned
}

// charge adds a commitment to its team's usage.
func (s *State) charge(o *ownedPartition, t *task, team string, request structs.Resources) {
	t.chargedTeam = team
	if team != "" {
		o.tasks.teamUsage[team] = o.tasks.teamUsage[team].Add(request)
	}
}

// uncharge subtracts a commitment from its team's usage.
func (o *ownedPartition) uncharge(t *task, request structs.Resources) {
	if t.chargedTeam != "" {
		o.tasks.teamUsage[t.chargedTeam] = o.tasks.teamUsage[t.chargedTeam].Sub(request)
	}
	t.chargedTeam = ""
}
