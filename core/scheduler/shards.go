package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/core/timers"
)

const (
	// maxShards bounds the number of shards.
	maxShards = 64
	// loadInterval separates writes of a shard's load. Hosts see by them that the
	// shard has a leader.
	loadInterval = 300 * time.Millisecond
	// leaderSilence is the age of a shard's load from which hosts read its lease. It
	// ends before the lease does.
	leaderSilence = 900 * time.Millisecond
	// maxLoadAge is the age from which a load says nothing about a shard.
	maxLoadAge = 3 * time.Second
)

// shardView is what a host knows of all shards.
type shardView struct {
	plan          ShardPlanRow // known to leaders, which watch it
	planVersion   structs.Version
	planned       int // number of shards in the newest load or plan
	loads         map[ShardID]ShardLoadRow
	loadVersions  map[ShardID]structs.Version
	storeMS       int64         // the store's clock at readAt
	readAt        Instant       // of the last complete read
	readTime      time.Duration // that it took
	everRead      bool          // the rows have been read
	readableSince Instant       // since when they can be read; 0: they cannot be read
	leaderships   []*leadership // by shard
	takeover      bool          // a takeover of a shard is in flight
	strongest     float64       // most processors of any leader or challenger seen
}

func newShardView() shardView {
	return shardView{loads: make(map[ShardID]ShardLoadRow), loadVersions: make(map[ShardID]structs.Version)}
}

// count returns the number of shards.
func (v *shardView) count() int { return min(max(v.planned, 1), maxShards) }

// leadership returns what the host knows of the leader of a shard.
func (v *shardView) leadership(id ShardID) *leadership {
	for len(v.leaderships) <= int(id) {
		v.leaderships = append(v.leaderships, &leadership{shard: ShardID(len(v.leaderships))})
	}
	return v.leaderships[id]
}

// age returns how old a load is now.
func (v *shardView) age(load ShardLoadRow, now Instant) time.Duration {
	return time.Duration(v.storeMS-load.AtMS)*time.Millisecond + now - v.readAt
}

// led reports whether the load of a shard shows that it has a leader.
func (v *shardView) led(id ShardID, now Instant) bool {
	load, ok := v.loads[id]
	return ok && load.AtMS > 0 && v.age(load, now) < leaderSilence
}

// applyShardRows applies rows of TableShards. Older versions than those known are
// ignored, since reads and watches overtake each other.
func (s *State) applyShardRows(rows []Row) {
	v := &s.shards
	planChanged := false
	for _, r := range rows {
		switch value := r.Value.(type) {
		case ShardPlanRow:
			if r.Version > v.planVersion {
				planChanged = true
				v.plan, v.planVersion, v.planned = value, r.Version, max(v.planned, value.Shards)
			}
		case ShardLoadRow:
			if id, ok := shardOfLoadKey(r.Key); ok && r.Version > v.loadVersions[id] {
				v.loads[id], v.loadVersions[id] = value, r.Version
				v.strongest, v.planned = max(v.strongest, value.Strongest), max(v.planned, value.Shards)
			}
		}
	}
	if planChanged {
		s.planChanged()
	}
}

// planChanged tells the leaders of this host that workers may have been assigned.
func (s *State) planChanged() {
	s.logDecision(Decision{Part: "leader", Action: "plan of shards in force", Subject: s.self.Host, Number: uint64(s.shards.count())})
	for _, l := range s.leaders {
		l.applyAssignedEntries()
	}
}

// readShards reads the loads of all shards, and passes the result to done.
func (s *State) readShards(timeout time.Duration, done func(RowsRead)) {
	sentAt := s.now
	s.read(ReadRows{Table: TableShards, Partition: loadPartition, Timeout: timeout}, func(r RowsRead) {
		v := &s.shards
		readable := r.Outcome == structs.OutcomeDone
		if readable || timeout >= readTimeout { // a shorter read proves nothing about a slow store
			timers.TrackSince(&v.readableSince, readable, s.now)
		}
		if readable {
			v.storeMS, v.readAt, v.readTime, v.everRead = r.StoreMS, s.now, s.now-sentAt, true
			s.applyShardRows(r.Rows)
			s.reportShards()
		}
		done(r)
	})
}

// publishLoad writes the load of the shard periodically.
func (l *leaderState) publishLoad() {
	l.after(loadInterval, l.publishLoad)
	if !l.isLoaded() || !l.leaseValid() || l.loadInFlight {
		return
	}
	l.logEmptyZones()
	l.state.reportEvacuations()
	l.loadInFlight = true
	l.state.commit(Commit{Writes: []Write{{TableShards, loadPartition, l.shard.loadKey(), l.load()}}}, func(Committed) {
		l.loadInFlight = false
	})
}

// publishRelease tells the other hosts at once that the shard has no leader.
func (l *leaderState) publishRelease() {
	row := l.load()
	row.AtMS = 0
	l.state.commit(Commit{Writes: []Write{{TableShards, loadPartition, l.shard.loadKey(), row}}}, func(c Committed) {
		if c.Outcome != structs.OutcomeDone {
			// The hosts see it later, by the age of the last load.
			l.state.logDecision(Decision{Part: "leader", Action: "release was not published", Subject: l.state.self.Host, Reason: outcomeName(c.Outcome), Number: uint64(l.epoch)})
		}
	})
}

// load returns the load of the shard now.
func (l *leaderState) load() ShardLoadRow {
	s := l.state
	row := ShardLoadRow{
		Host: s.self.Host, Epoch: l.epoch, Processors: s.self.Processors, Strongest: s.shards.strongest, Leads: len(s.leaders), AtMS: l.storeNow(),
		Shards:       s.shards.count(),
		QueueLengths: make(map[string]int), Services: make(map[string]ServiceLoad), Labels: l.workerLabels((*worker).inService),
		Evacuating: l.runsInEvacuatedZones(),
	}
	for _, id := range l.workerIDs {
		w := l.workers[id]
		load := row.Services[w.entry.Service]
		if w.acceptsStarts() && !w.quarantined() && !l.startsPaused {
			load.addWorker(w)
		}
		row.Services[w.entry.Service] = load
	}
	for _, j := range l.openJobs {
		if !j.schedulable() {
			continue
		}
		if !j.started && j.Part == nil {
			row.QueueLengths[j.Queue]++
		}
		service := s.config.policyOf(&j.Job).Service
		load := row.Services[service]
		load.subtractWaiting(j)
		row.Services[service] = load
	}
	l.addBacklog(&row)
	return row.within(s.bounds.rowLimit())
}

// within returns the load within a size. The progress of evacuations goes first, then labels,
// and then the shortest queues: without them jobs are placed with less knowledge, and queues
// are told shorter.
func (r ShardLoadRow) within(limit int) ShardLoadRow {
	over := r.bytes() - limit
	if over > 0 && len(r.Evacuating) > 0 {
		r.Evacuating = nil
		over = r.bytes() - limit
	}
	for over > 0 && len(r.Labels) > 0 {
		last := len(r.Labels) - 1
		over -= textFrame + textBytes(r.Labels[last])
		r.Labels = r.Labels[:last]
	}
	if over <= 0 {
		return r
	}
	queues := slices.SortedFunc(maps.Keys(r.QueueLengths), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.QueueLengths[a], r.QueueLengths[b]), cmp.Compare(a, b))
	})
	for _, queue := range queues {
		if over <= 0 {
			break
		}
		over -= queueLengthsFrame + textBytes(queue)
		delete(r.QueueLengths, queue)
	}
	return r
}

// subtractWaiting subtracts what the waiting tasks of a job request whose turn has
// come.
func (load *ServiceLoad) subtractWaiting(j *job) {
	for occurrence, steps := range j.waitingByStep {
		for i, waiting := range steps {
			if waiting == 0 || !j.stepReady(occurrence, i) {
				continue
			}
			load.subtract(&j.Steps[i], waiting)
		}
	}
}

// addWorker adds the room on a worker.
func (load *ServiceLoad) addWorker(w *worker) {
	free := max(w.entry.Capacity.MilliCores-w.reserved.MilliCores, 0)
	for i, size := range slotSizes {
		load.Slots[i] += free / size
		load.Free[i] += free / size
	}
	idle := max(w.idleMilliCores(), 0)
	load.IdleMilliCores, load.FreeMilliCores = load.IdleMilliCores+idle, load.FreeMilliCores+idle
	load.LargestMilliCores = max(load.LargestMilliCores, free)
}

// subtract subtracts what tasks of a step request.
func (load *ServiceLoad) subtract(step *structs.Step, tasks int) {
	amount := int64(tasks) * step.Request.MilliCores
	load.IdleMilliCores -= amount
	if step.BestEffort {
		return
	}
	for i, size := range slotSizes {
		load.Slots[i] -= (amount + size - 1) / size
	}
}

// assign subtracts what tasks of a step request that are given to the shard.
func (load *ServiceLoad) assign(step *structs.Step, tasks int) {
	load.subtract(step, tasks)
	amount := int64(tasks) * step.Request.MilliCores
	load.FreeMilliCores -= amount
	if step.BestEffort {
		return
	}
	for i, size := range slotSizes {
		load.Free[i] -= (amount + size - 1) / size
	}
}

// slots returns how many tasks of a step find room on single workers.
func (load *ServiceLoad) slots(step *structs.Step) int64 { return load.countSlots(&load.Slots, step) }

// freeSlots returns how many tasks of a step find room now, whatever waits.
func (load *ServiceLoad) freeSlots(step *structs.Step) int64 {
	if step.BestEffort {
		return load.FreeMilliCores / max(step.Request.MilliCores, 1)
	}
	return load.countSlots(&load.Free, step)
}

func (load *ServiceLoad) countSlots(bySize *[len(slotSizes)]int64, step *structs.Step) int64 {
	slots := int64(0) // larger than any size that the load tells
	if i := slices.IndexFunc(slotSizes[:], func(size int64) bool { return step.Request.MilliCores <= size }); i >= 0 {
		slots = bySize[i]
	}
	if slots == 0 && step.Request.MilliCores <= load.LargestMilliCores {
		return 1
	}
	return slots
}

// roomFor returns how much room is left once some tasks of a step run: in tasks or, for
// best-effort tasks, in thousandths of a processor. It is negative if they do not fit.
func (load *ServiceLoad) roomFor(step *structs.Step, tasks int) int64 {
	if step.BestEffort {
		return load.IdleMilliCores - int64(tasks)*step.Request.MilliCores
	}
	return load.slots(step) - int64(tasks)
}

// reportShards reports the known loads of all shards for the metrics.
func (s *State) reportShards() {
	v := &s.shards
	for id := range ShardID(v.count()) {
		row, ok := v.loads[id]
		if !ok || row.AtMS == 0 {
			continue
		}
		report := ShardReport{Shard: id, WrittenAt: s.now - v.age(row, s.now), Backlog: make(map[string][]BacklogClass)}
		for service, load := range row.Services {
			if len(load.Backlog) > 0 {
				report.Backlog[service] = load.Backlog
			}
		}
		s.emit(report)
	}
}
