package control

import (
	"fmt"
	"testing"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// TestReacquiredAtOnce guards against timers from an earlier ownership that act on
// a partition that was lost and acquired again, before its rows are loaded.
// TestTaskInvariants found this fault: a step of work scheduled too early was
// never performed, and the new sheet was never applied.
func TestReacquiredAtOnce(t *testing.T) {
	s := NewState()
	Reduce(s, Event{Body: Started{Host: "e", Instance: "e/1", Address: "e", Partitions: 1}})
	p := s.partitions[0]
	p.owned = &ownedPartition{partition: p, versions: make(map[structs.RowKey]structs.Version)}
	s.loadRow(p.owned, structs.KeyedRow{Row: structs.TaskRow{Task: "study.0", Row: "study", Phase: structs.TaskPending}})
	timers, effects := s.timers.Len(), len(s.effects)
	s.syncWorkers(p)
	s.policyStep(p)
	s.taskStep(p)
	if p.owned.tasks.workScheduled || s.timers.Len() != timers || len(s.effects) != effects {
		t.Errorf("a timer of the earlier ownership acted: work scheduled %v, %d more timers, %d more effects",
			p.owned.tasks.workScheduled, s.timers.Len()-timers, len(s.effects)-effects)
	}
}

// Guards against so many replicas in one partition that the message with its targets is
// larger than a host reads, so that no host learns of any of them.
func TestTargetsFitOneMessage(t *testing.T) {
	s := NewState()
	Reduce(s, Event{Body: Started{Host: "a", Instance: "a/1", Address: "a", Partitions: 1}})
	o := &ownedPartition{partition: s.partitions[0]}
	o.tasks.init()
	w := o.tasks.addWorker("w")
	for i := range maxTargets + 10 {
		x := &task{run: runState{running: true}, row: structs.TaskRow{
			Task: taskID("portal", i, 0), Row: "portal", Index: i, Kind: structs.KindService, Phase: structs.TaskAssigned, Worker: "w", Run: 1,
		}}
		o.tasks.insert(x)
		w.row.Commitments = append(w.row.Commitments, structs.Commitment{Task: x.row.Task, Run: 1})
	}
	s.effects = nil
	for range 2 {
		if n := len(s.runningTargets(o)); n != maxTargets {
			t.Errorf("%d targets are published, want %d", n, maxTargets)
		}
	}
	if len(s.effects) != 1 {
		t.Errorf("%d decisions say that targets are left out, want 1", len(s.effects))
	}
}

// Guards against a state that grows with every service there ever was.
func TestRemovedServicesAreForgotten(t *testing.T) {
	s := NewState()
	Reduce(s, Event{Body: Started{Host: "a", Instance: "a/1", Address: "a", Partitions: 1}})
	version := uint64(0)
	publish := func(targets ...structs.Target) {
		version++
		Reduce(s, Event{Body: PeerMessage{From: "b", Message: Endpoints{Epoch: 1, Version: version, Targets: targets}}})
	}
	for i := range 50 {
		name := fmt.Sprint("service-", i)
		rows := []structs.SheetRow{{Name: name, Kind: structs.KindService, Count: 1}}
		Reduce(s, Event{Body: PeerMessage{From: "b", Message: ConfigPush{structs.Configuration{Generation: structs.Generation(i + 1), Rows: rows}}}})
		publish(structs.Target{Service: name, Task: taskID(name, 0, 0), Worker: "w", Address: "w", Slots: 1})
		if i%2 == 0 {
			publish() // before its row is removed
		}
	}
	if len(s.calls.services) > 2 || len(s.routes.byService) > 2 {
		t.Errorf("%d services and %d lists of targets are kept, want those of the last row", len(s.calls.services), len(s.routes.byService))
	}
}
