package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// plannerShard is the shard whose leader assigns racks to shards.
const plannerShard ShardID = 0

// rackKey returns the key of a worker's rack in the plan. A worker whose rack is not
// known is a rack of its own.
func rackKey(id structs.WorkerID, e *structs.WorkerEntry) string {
	if e.Rack == "" {
		return "worker:" + string(id)
	}
	return e.Rack
}

// isMine reports whether the stored plan assigns a worker to this shard. A worker that
// the leader knows stays, whatever its entry says of its rack.
func (l *leaderState) isMine(id structs.WorkerID, e *structs.WorkerEntry) bool {
	if l.workers[id] != nil {
		return true
	}
	shard, ok := l.state.shards.plan.Racks[rackKey(id, e)]
	return ok && shard == l.shard
}

// applyAssignedEntries applies the entries of workers that the plan has assigned to
// this shard since.
func (l *leaderState) applyAssignedEntries() {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[id]
		if w := l.workers[id]; (w == nil || !w.listed) && l.isMine(id, &e) {
			l.applyEntry(id, e)
		}
	}
	l.schedule.requestPass()
}

const (
	// planSettleTime is how long the list of workers must have brought no new rack
	// before the first plan is made, so that the number of shards follows the whole
	// deployment. It covers two watches of the list.
	planSettleTime = 800 * time.Millisecond
	// maxPlanDelay bounds the wait for the first plan.
	maxPlanDelay = 4 * time.Second
)

// assignRacks assigns racks that the plan does not have, and adds shards as the number
// of workers grows. The workers of a rack are used once the plan is stored.
func (l *leaderState) assignRacks() {
	if l.shard != plannerShard || !l.isLoaded() || l.waitsForRacks() {
		return
	}
	now := l.state.now
	if l.planRejectedAt > 0 && now-l.planRejectedAt < planRetryDelay {
		return
	}
	plan := l.state.shards.plan
	if l.newestPlan != nil {
		plan = *l.newestPlan // it may not be stored yet
	}
	counts := make(map[string]int) // workers by rack
	newRacks := make(map[string]structs.WorkerID)
	for id, e := range l.entries {
		key := rackKey(id, &e)
		counts[key]++
		if _, ok := plan.Racks[key]; !ok {
			newRacks[key] = max(newRacks[key], id)
		}
	}
	l.trackAbsentRacks(plan, counts)
	if len(newRacks) == 0 {
		return
	}
	plan = ShardPlanRow{Shards: max(plan.Shards, l.wantedShards()), Racks: maps.Clone(plan.Racks)}
	if plan.Racks == nil {
		plan.Racks = make(map[string]ShardID)
	}
	if l.boundPlan(&plan, newRacks); len(newRacks) == 0 {
		return
	}
	for id := range l.entries {
		// Former leaders of a deployment without a plan used all workers.
		if w := l.workers[id]; w != nil && w.used {
			e := l.entries[id]
			if key := rackKey(id, &e); newRacks[key] != "" {
				plan.Racks[key] = plannerShard
				delete(newRacks, key)
			}
		}
	}
	l.spreadRacks(&plan, newRacks, counts)
	l.newestPlan, l.commits.plan = &plan, &plan
	l.state.logDecision(Decision{Part: "leader", Action: "racks assigned to shards", Subject: l.state.self.Host, Number: uint64(plan.Shards)})
}

// absentRackRetention is how long a rack stays in a plan that is full after its last
// worker has left the list. No run and no lease of its workers lasts that long.
const absentRackRetention = 2 * time.Minute

// trackAbsentRacks records since when the racks of the plan have had no listed worker.
func (l *leaderState) trackAbsentRacks(plan ShardPlanRow, counts map[string]int) {
	for rack := range plan.Racks {
		if counts[rack] > 0 {
			delete(l.absentSince, rack)
		} else if _, known := l.absentSince[rack]; !known {
			l.absentSince[rack] = l.state.now
		}
	}
}

// longestAbsent returns the racks of the plan without listed workers, the one that has
// been without for the longest time first.
func (l *leaderState) longestAbsent() []string {
	return slices.SortedFunc(maps.Keys(l.absentSince), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.absentSince[a], l.absentSince[b]), cmp.Compare(a, b))
	})
}

// boundPlan keeps a plan with new racks within the limit of a row. It removes racks that
// have long had no worker, and then leaves out the new racks that do not fit: only their
// own workers are not used.
func (l *leaderState) boundPlan(plan *ShardPlanRow, newRacks map[string]structs.WorkerID) {
	left := l.state.bounds.rowLimit() - plan.bytes()
	for rack := range newRacks {
		left -= rackBytes(rack)
	}
	if left >= 0 {
		return
	}
	for _, rack := range l.longestAbsent() {
		if left >= 0 || l.state.now-l.absentSince[rack] < absentRackRetention {
			break
		}
		delete(plan.Racks, rack)
		delete(l.absentSince, rack)
		left += rackBytes(rack)
	}
	for _, rack := range slices.Backward(slices.Sorted(maps.Keys(newRacks))) {
		if left >= 0 {
			return
		}
		l.logOnce(TableShards, rack, Decision{Part: "leader", Action: "rack left out of the plan", Subject: rack, Reason: "the plan is full"})
		delete(newRacks, rack)
		left += rackBytes(rack)
	}
}

// waitsForRacks reports whether the first plan should wait for further workers.
func (l *leaderState) waitsForRacks() bool {
	now := l.state.now
	if l.state.shards.plan.Shards > 0 || len(l.entries) == 0 || l.state.self.ShardWorkers <= 0 {
		return false
	}
	if len(l.entries) != l.entriesAtGrowth {
		l.entriesAtGrowth, l.entriesGrewAt = len(l.entries), now
		l.after(planSettleTime, l.assignRacks)
	}
	return now-l.entriesGrewAt < planSettleTime && now-l.loadedAt < maxPlanDelay
}

// wantedShards returns the number of shards for the listed workers.
func (l *leaderState) wantedShards() int {
	size := l.state.self.ShardWorkers
	if size <= 0 {
		return 1
	}
	return min(max((len(l.entries)+size-1)/size, 1), maxShards)
}

// spreadRacks assigns each new rack to the shard with the fewest workers, separately
// for each service, so that each shard has workers of all services and zones.
func (l *leaderState) spreadRacks(plan *ShardPlanRow, newRacks map[string]structs.WorkerID, counts map[string]int) {
	type pool struct {
		service string
		shard   ShardID
	}
	sizes := make(map[pool]int)
	for id, e := range l.entries {
		if shard, ok := plan.Racks[rackKey(id, &e)]; ok {
			sizes[pool{e.Service, shard}]++
		}
	}
	for _, rack := range slices.Sorted(maps.Keys(newRacks)) {
		service := l.entries[newRacks[rack]].Service
		smallest := ShardID(0)
		for id := range ShardID(plan.Shards) {
			if sizes[pool{service, id}] < sizes[pool{service, smallest}] {
				smallest = id
			}
		}
		plan.Racks[rack] = smallest
		sizes[pool{service, smallest}] += counts[rack]
	}
}
