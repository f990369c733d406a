package scheduler

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// runsIn returns how many tasks of a job run in a zone.
func (sim *simulation) runsIn(zone, id string) int {
	n := 0
	for _, f := range sim.workers {
		for key := range f.runs {
			if f.zone == zone && key.ref.Job == structs.JobID(id) {
				n++
			}
		}
	}
	return n
}

// startPersistent starts a persistent job of 6 tasks, and waits until they have worked for long.
func (sim *simulation) startPersistent(change func(*structs.Step)) {
	sim.t.Helper()
	job := persistentJob(6, 1000)
	change(&job.Steps[0])
	sim.submitAndWait(sim.hosts[0], jobA, job)
	sim.waitFor(3*time.Second, "the runs", func() bool { return sim.runningTasks(jobA) == 6 })
	sim.advance(3 * time.Second)
}

// TestPersistentTasksLeaveEvacuatedZone guards against persistent tasks that stay in an
// evacuated zone, against more of them away at a time than may be, and against finite runs that
// lose their work. A new leader goes on with it.
func TestPersistentTasksLeaveEvacuatedZone(t *testing.T) {
	sim := newSimulationWithBounds(t, 2, 4, 0, boundsWithReactionTimes())
	sim.waitForLeader()
	sim.startPersistent(func(s *structs.Step) { s.MaxUnavailable = 1 })
	sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(4, 12*time.Second, 1000))
	sim.waitFor(time.Second, "the finite runs", func() bool { return sim.runningTasks(jobB) == 4 })
	if sim.runsIn("z0", jobA) < 3 || sim.runsIn("z0", jobB) == 0 {
		t.Fatal("no runs in the zone")
	}
	sim.evacuate("z0")
	sim.waitFor(3*time.Second, "the first move", func() bool { return sim.countDecisions("the zone is evacuated") > 0 })
	former := sim.leader()
	former.kill()
	for sim.runsIn("z0", jobA) > 0 || sim.runningTasks(jobA) < 6 {
		if got := sim.runningTasks(jobA); got < 5 {
			t.Fatalf("%d of 6 tasks run, want at least 5", got)
		}
		if sim.now > time.Minute {
			t.Fatalf("%d tasks are still in the zone", sim.runsIn("z0", jobA))
		}
		sim.advance(10 * time.Millisecond)
	}
	sim.waitFor(15*time.Second, "completion", func() bool { return sim.jobState(jobB) == structs.JobCompleted })
	sim.waitFor(time.Second, "the empty zone", func() bool { return sim.countDecisions("zone empty z0") > 0 })
	row := sim.leader().state.leaderOf(0).load()
	if left, known := row.Evacuating["z0"]; !known || left != 0 {
		t.Errorf("the load tells %v", row.Evacuating)
	}
	if want := (EvacuationReport{Zones: 1}); sim.leader().state.reportedEvacuations != want {
		t.Errorf("the metrics tell %+v", sim.leader().state.reportedEvacuations)
	}
	starts := 0
	for _, f := range sim.workers {
		starts += f.starts
	}
	if most := 6 + 4 + 4; starts > most {
		t.Errorf("%d starts, want at most %d: finite runs were stopped, or tasks moved twice", starts, most)
	}
}

// TestTasksStayInEvacuatedZone guards against persistent tasks that are stopped although there
// is no room for them outside the zone, or only room that finite tasks need.
func TestTasksStayInEvacuatedZone(t *testing.T) {
	for name, change := range map[string]func(*structs.Step){
		"all its room": func(s *structs.Step) { s.Label = "only" },
		"no reserve":   func(*structs.Step) {},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithBounds(t, 1, 2, 0, boundsWithReactionTimes())
			sim.workers["w00"].labels = []string{"only"}
			sim.workers["w00"].writeEntry(false)
			sim.waitForLeader()
			sim.startPersistent(change)
			before := sim.runsIn("z0", jobA)
			if name == "no reserve" {
				sim.submitAndWait(sim.hosts[0], jobB, singleStepJob(6, 30*time.Second, 1000))
				sim.waitFor(time.Second, "the finite runs", func() bool { return sim.runningTasks(jobB) == 6 })
			}
			sim.evacuate("z0")
			sim.advance(5 * time.Second)
			if got := sim.runsIn("z0", jobA); got != before || got == 0 || sim.countDecisions("the zone is evacuated") > 0 {
				t.Errorf("%d tasks are in the zone, want %d", got, before)
			}
		})
	}
}

// TestStepWithoutRoomHoldsUpNoOther guards against tasks that stay in an evacuated zone with room
// outside, because those of another step there find none.
func TestStepWithoutRoomHoldsUpNoOther(t *testing.T) {
	sim := newSimulationWithBounds(t, 1, 4, 0, boundsWithReactionTimes())
	sim.workers["w00"].labels = []string{"only"}
	sim.workers["w00"].writeEntry(false)
	sim.waitForLeader()
	stays := persistentJob(2, 1000)
	stays.Steps[0].Label = "only"
	sim.submitAndWait(sim.hosts[0], jobA, stays)
	sim.submitAndWait(sim.hosts[0], jobB, persistentJob(8, 1000))
	sim.waitFor(3*time.Second, "the runs", func() bool { return sim.runningTasks(jobA) == 2 && sim.runningTasks(jobB) == 8 })
	sim.advance(3 * time.Second)
	if sim.runsIn("z0", jobB) == 0 {
		t.Fatal("no runs in the zone")
	}
	sim.evacuate("z0")
	sim.waitFor(20*time.Second, "the moves", func() bool { return sim.runsIn("z0", jobB) == 0 })
	if sim.runsIn("z0", jobA) != 2 {
		t.Error("a task without room outside was stopped")
	}
}

// TestColdWorkersTakeLess guards against workers that are slow after their start and get as
// many tasks as the others.
func TestColdWorkersTakeLess(t *testing.T) {
	sim := newSimulationWithBounds(t, 1, 2, 0, boundsWithReactionTimes())
	sim.workers["w00"].coldFor = 10 * time.Second
	sim.workers["w00"].writeEntry(false)
	sim.waitForLeader()
	sim.submitAndWait(sim.hosts[0], jobA, singleStepJob(2, time.Second, 1000))
	sim.waitFor(time.Second, "the runs", func() bool { return sim.runningTasks(jobA) == 2 })
	if got := sim.workers["w00"].starts; got != 0 {
		t.Errorf("%d starts on the cold worker", got)
	}
}
