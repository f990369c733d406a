package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// serveJobs submits small jobs at a host and fails the test unless all of them complete.
func (sim *simulation) serveJobs(h *fakeHost, first, count int) {
	sim.t.Helper()
	for i := range count {
		sim.submitAndWait(h, fmt.Sprintf("f%015x", first+i), singleStepJob(2, 200*time.Millisecond, 500))
	}
	sim.waitFor(10*time.Second, "completion of all jobs", func() bool {
		for i := range count {
			if sim.jobState(fmt.Sprintf("f%015x", first+i)) != structs.JobCompleted {
				return false
			}
		}
		return true
	})
}

// otherWorker is an entry in the list of workers that another program wrote.
func otherWorker(service, rack string) WorkerRow {
	return WorkerRow{structs.WorkerEntry{
		Service: service, Address: "10.0.9.9:1", Capacity: structs.Resources{MilliCores: 8000, MemoryMB: 64000}, Labels: []string{"a", rack}, Rack: rack,
	}}
}

// TestEntryOfOtherServiceStopsNoJob guards against an entry of another program, with a
// service that is not configured, that outgrows the plan of the shards, so that the store
// rejects every commit of every leader.
func TestEntryOfOtherServiceStopsNoJob(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.waitForLeader()
	leader := sim.leader()
	sim.store.set(TableWorkers, "relay-7", otherWorker("mail-relay", strings.Repeat("x", fakeMaxRowBytes)))
	sim.store.set(TableWorkers, "relay-8", otherWorker("mail-relay", "rack of the relay"))
	sim.advance(time.Second)
	sim.serveJobs(sim.hosts[0], 0, 5)
	if _, planned := sim.store.get(TableShards, KeyPlan).(ShardPlanRow).Racks["rack of the relay"]; planned {
		t.Error("the rack of the entry is in the plan")
	}
	if sim.leader() != leader {
		t.Error("the leader has changed")
	}
	if sim.store.rejections > 0 {
		t.Errorf("%d commits were rejected", sim.store.rejections)
	}
}

// TestEntriesOfNewServiceAreUsed guards against workers that stay unused because their
// entries were read before the configuration that names their service.
func TestEntriesOfNewServiceAreUsed(t *testing.T) {
	sim := newSimulation(t, 1, 0)
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{Number: 2}})
	sim.addWorker("w00")
	sim.advance(3 * time.Second)
	sim.store.set(TableOperator, KeyConfiguration, ConfigurationRow{structs.QueueConfiguration{
		Number: 3, Queues: []structs.Queue{{Name: queueName, Host: "h", PathPrefix: "/q/", Policy: structs.Policy{Service: serviceName, Attempts: 3}}},
	}})
	sim.advance(100 * time.Millisecond)
	sim.serveJobs(sim.hosts[0], 0, 1)
}

// TestFullPlanKeepsServing guards against racks with long names that outgrow the plan of
// the shards, and against racks that stay in a full plan after their workers have left.
func TestFullPlanKeepsServing(t *testing.T) {
	sim := newSimulation(t, 2, 4)
	sim.waitForLeader()
	leader := sim.leader()
	name := func(generation, i int) (id, rack string) {
		return fmt.Sprintf("o%d-%04d", generation, i), fmt.Sprintf("%d-%04d-%s", generation, i, strings.Repeat("r", 190))
	}
	const racks = 500
	for i := range racks {
		id, rack := name(0, i)
		sim.store.set(TableWorkers, id, otherWorker(serviceName, rack))
	}
	sim.advance(time.Second)
	sim.serveJobs(sim.hosts[0], 0, 5)
	for i := range racks {
		id, _ := name(0, i)
		sim.store.set(TableWorkers, id, nil)
	}
	sim.advance(absentRackRetention + time.Second)
	id, rack := name(1, 0)
	sim.store.set(TableWorkers, id, otherWorker(serviceName, rack))
	sim.advance(time.Second)
	if _, planned := sim.store.get(TableShards, KeyPlan).(ShardPlanRow).Racks[rack]; !planned {
		t.Error("the new rack is not in the plan")
	}
	sim.serveJobs(sim.hosts[0], 100, 5)
	if sim.leader() != leader || sim.store.rejections > 0 {
		t.Errorf("the leader has changed: %v; %d commits were rejected", sim.leader() != leader, sim.store.rejections)
	}
}

// TestRejectedRowIsDropped guards against one row that the store rejects for good and
// that holds up the commits of all jobs and the lease.
func TestRejectedRowIsDropped(t *testing.T) {
	for _, named := range []bool{true, false} {
		sim := newSimulation(t, 2, 4)
		sim.waitForLeader()
		leader := sim.leader()
		sim.store.namesRejected = named
		sim.store.rejectWrite = func(w Write) bool {
			return w.Table == TableProgress && w.Key == jobA || w.Key == KeyPressures
		}
		sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, 200*time.Millisecond, 500))
		sim.serveJobs(sim.hosts[0], 0, 30)
		const most = 20 // halvings of one commit, and one row alone
		if sim.store.rejections == 0 || sim.store.rejections > most {
			t.Errorf("named %v: %d commits were rejected, want 1 to %d", named, sim.store.rejections, most)
		}
		if sim.leader() != leader {
			t.Errorf("named %v: the leader has changed", named)
		}
	}
}

// TestJobThatCannotBeStoredIsRefused guards against callers that are told to come back
// with a job that the store will never take.
func TestJobThatCannotBeStoredIsRefused(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	large := singleStepJob(1, time.Second, 500)
	for range 700 {
		large.Steps = append(large.Steps, large.Steps[0])
	}
	large.Steps[0].Image = strings.Repeat("i", 2000)
	req := sim.submit(sim.hosts[0], jobA, large)
	sim.advance(100 * time.Millisecond)
	if got := sim.answers[req].Status; got != AnswerTooLarge {
		t.Errorf("job over the limit of a row: %v", got)
	}
	sim.store.rejectWrite = func(w Write) bool { return w.Table == TableJobs }
	req = sim.submit(sim.hosts[0], jobB, singleStepJob(1, time.Second, 500))
	sim.advance(100 * time.Millisecond)
	if got := sim.answers[req].Status; got != AnswerTooLarge {
		t.Errorf("job that the store rejects: %v", got)
	}
}

// TestRowsStayWithinLimit guards against rows of a leader that outgrow the store's limit
// with the images, workers, queues or labels that other programs name.
func TestRowsStayWithinLimit(t *testing.T) {
	long := func(i int) string { return fmt.Sprintf("%s-%d", strings.Repeat("n", 190), i) }
	var learned PressuresRow
	for i := range 100 {
		learned.Bases = append(learned.Bases, BaseTailEntry{long(i), 5})
		for k := range 100 {
			learned.Pairs = append(learned.Pairs, PressureEntry{long(i), long(k), 1, float64(100*i+k+1) / 1e4})
		}
	}
	pressures := pressuresRow(newInterference(learned), fakeMaxRowBytes)
	if got := rowBytes(pressures); got > fakeMaxRowBytes || len(pressures.Pairs) == 0 || pressures.Pairs[0].Variance != 1e-4 {
		t.Errorf("pressures of %d bytes with %d pairs", got, len(pressures.Pairs))
	}
	load := ShardLoadRow{QueueLengths: make(map[string]int)}
	for i := range 400 {
		load.Labels = append(load.Labels, long(i))
		load.QueueLengths[long(i)] = i
	}
	load = load.within(fakeMaxRowBytes)
	if got := rowBytes(load); got > fakeMaxRowBytes || load.QueueLengths[long(399)] != 399 {
		t.Errorf("load of %d bytes with %d queues", got, len(load.QueueLengths))
	}
	sim := newSimulation(t, 1, 1)
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	for i := range 400 {
		w := l.addWorker(structs.WorkerID(long(i)))
		w.entry.Address, w.listsRead = "10.0.0.1:1", true
	}
	used := l.usedWorkers()
	if _, kept := used.Workers["w00"]; rowBytes(used) > fakeMaxRowBytes || !kept || len(used.Workers) < 100 {
		t.Errorf("used workers of %d bytes with %d workers, the used one among them: %v", rowBytes(used), len(used.Workers), kept)
	}
}
