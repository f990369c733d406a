package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// evacuate requests the evacuation of a zone.
func (sim *simulation) evacuate(zone string) {
	sim.store.set(TableOperator, evacuationKeyPrefix+zone, EvacuationRow{})
}

// endEvacuation removes the request to evacuate a zone.
func (sim *simulation) endEvacuation(zone string) {
	sim.store.set(TableOperator, evacuationKeyPrefix+zone, nil)
}

// startsIn returns how many starts the workers of a zone have carried out.
func (sim *simulation) startsIn(zone string) int {
	n := 0
	for _, f := range sim.workers {
		if f.zone == zone {
			n += f.starts
		}
	}
	return n
}

// countDecisions returns how many decision lines contain a text.
func (sim *simulation) countDecisions(text string) int {
	n := 0
	for _, d := range sim.decisions {
		if strings.Contains(d, text) {
			n++
		}
	}
	return n
}

// submitShort submits jobs of one short task.
func (sim *simulation) submitShort(h *fakeHost, first, jobs int) {
	sim.t.Helper()
	for i := range jobs {
		sim.submitAndWait(h, fmt.Sprintf("%016x", first+i), singleStepJob(1, 300*time.Millisecond, 1000))
	}
}

// TestNothingStartsInEvacuatedZone guards against starts in a zone that the operator has
// evacuated, whatever the row's value, also by the next leader, and against a zone that stays
// closed when the end is seen by a read of the whole table.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	sim := newSimulationWithBounds(t, 2, 4, 0, boundsWithReactionTimes())
	sim.waitForLeader()
	sim.store.set(TableOperator, evacuationKeyPrefix+"z0", CancelRow{}) // stands for a value that cannot be read
	sim.advance(time.Second)
	former := sim.leader()
	sim.submitShort(former, 1, 10)
	former.kill()
	sim.waitFor(10*time.Second, "the next leader", func() bool { return sim.leader() != nil && sim.leader() != former })
	sim.submitShort(sim.leader(), 100, 10)
	sim.advance(10 * time.Second)
	if got, all := sim.startsIn("z0"), sim.startsIn("z1"); got != 0 || all < 20 {
		t.Errorf("%d starts in the evacuated zone and %d in the other one, want 0 and 20", got, all)
	}
	sim.store.discardedUntil = sim.store.version + 100
	sim.endEvacuation("z0")
	sim.advance(2 * time.Second)
	sim.store.discardedUntil = 0
	sim.submitShort(sim.leader(), 200, 10)
	sim.advance(2 * time.Second)
	if got := sim.startsIn("z0"); got == 0 || sim.countDecisions("evacuation ended z0") == 0 {
		t.Errorf("%d starts after the end of the evacuation", got)
	}
}

// TestOddEvacuations guards against a row without a zone that closes workers whose zone is not
// known, and a zone without workers that is not logged, or again and again.
func TestOddEvacuations(t *testing.T) {
	sim := newSimulationWithBounds(t, 2, 2, 0, boundsWithReactionTimes())
	for _, f := range sim.workers {
		f.zone = ""
		f.writeEntry(false)
	}
	sim.evacuate("")
	sim.evacuate("nowhere")
	sim.waitForLeader()
	sim.submitShort(sim.hosts[0], 1, 4)
	for range 3 {
		sim.evacuate("nowhere")
		sim.advance(time.Second)
	}
	if got := sim.startsIn(""); got != 4 {
		t.Errorf("%d starts, want 4", got)
	}
	if got := sim.countDecisions("unknown zone evacuated nowhere"); got != 1 {
		t.Errorf("the zone without workers is logged %d times, want once", got)
	}
}

// TestEvacuatedZoneIsNoRoom guards against jobs that other shards give to a shard whose free
// workers are all in an evacuated zone.
func TestEvacuatedZoneIsNoRoom(t *testing.T) {
	sim := newSimulationWithBounds(t, 1, 2, 0, boundsWithReactionTimes())
	sim.waitForLeader()
	l := sim.leader().state.leaderOf(0)
	before := l.load().Services[serviceName]
	sim.evacuate("z0")
	sim.advance(time.Second)
	after := l.load().Services[serviceName]
	if after.FreeMilliCores != before.FreeMilliCores/2 || after.Free[0] != before.Free[0]/2 {
		t.Errorf("free %d of %d, want half", after.FreeMilliCores, before.FreeMilliCores)
	}
}

// TestStartsPauseOnOldViews guards against starts on workers that drain, or whose zone is
// evacuated, when the host does not hear of it for long: the oracle checks their times. It
// guards too against starts that never go on.
func TestStartsPauseOnOldViews(t *testing.T) {
	for _, table := range []Table{TableWorkers, TableOperator} {
		t.Run(table.String(), func(t *testing.T) {
			sim := newSimulationWithBounds(t, 1, 2, 0, boundsWithReactionTimes())
			sim.waitForLeader()
			sim.store.cutTable = table
			sim.workers["w00"].writeEntry(true)
			sim.evacuate(sim.workers["w00"].zone)
			for i := range 16 {
				sim.submitShort(sim.hosts[0], 1+i, 1)
				sim.advance(500 * time.Millisecond)
			}
			if sim.countDecisions("starts pause") == 0 {
				t.Error("starts do not pause")
			}
			sim.store.cutTable = 0
			sim.waitFor(4*time.Second, "the last job", func() bool { return sim.jobState(fmt.Sprintf("%016x", 16)).Final() })
		})
	}
}

// TestNoStartBeforeOperatorTableIsRead guards against starts in an evacuated zone by a leader
// that has not read the operator's table yet.
func TestNoStartBeforeOperatorTableIsRead(t *testing.T) {
	sim := newSimulationWithBounds(t, 1, 2, 0, boundsWithReactionTimes())
	sim.waitForLeader()
	sim.submitShort(sim.hosts[0], 1, 1)
	sim.advance(time.Second)
	before := sim.startsIn("z0") + sim.startsIn("z1")
	sim.hosts[0].kill()
	sim.addJob(jobA, singleStepJob(2, time.Second, 1000), 0)
	sim.store.cutTable = TableOperator
	sim.addHost("next")
	sim.advance(15 * time.Second)
	if sim.leader() == nil || sim.startsIn("z0")+sim.startsIn("z1") != before {
		t.Errorf("%d starts before the table is read", sim.startsIn("z0")+sim.startsIn("z1")-before)
	}
	sim.store.cutTable = 0
	sim.waitFor(5*time.Second, "the starts", func() bool { return sim.startsIn("z0")+sim.startsIn("z1") == before+2 })
}

// TestManyHeartbeats guards against a leader that falls behind the list of workers where more
// entries change than a page holds in the time between two watches: it sees late that a worker
// drains.
func TestManyHeartbeats(t *testing.T) {
	sim := newSimulationWithBounds(t, 1, 2, 0, boundsWithReactionTimes())
	sim.store.maxChanges = maxPageRows
	sim.waitForLeader()
	w := sim.leader().state.leaderOf(0).workers["w00"]
	entry := WorkerRow{structs.WorkerEntry{Service: "other", Address: "10.0.0.2:1"}}
	heartbeats := func() {
		for i := range 20 { // 2,000 a second
			sim.store.set(TableWorkers, fmt.Sprintf("other%d", i), entry)
		}
		sim.advance(10 * time.Millisecond)
	}
	for range 500 {
		heartbeats()
	}
	sim.workers["w00"].writeEntry(true)
	for began := sim.now; !w.entry.Draining; heartbeats() {
		if sim.now-began > sim.bounds.DrainTime/2 {
			t.Fatal("the leader does not see in time that the worker drains")
		}
	}
}
