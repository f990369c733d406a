package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// settled reports whether every partition has exactly one live owner.
func (w *world) settled() bool {
	owners := w.owners()
	for p := range w.partitions {
		if len(owners[structs.PartitionID(p)]) != 1 {
			return false
		}
	}
	return true
}

func (w *world) check(t *testing.T) {
	t.Helper()
	w.checkGenerations()
	for _, v := range w.violations {
		t.Error(v)
	}
}

// anyOwner returns a live node that owns a partition.
func (w *world) anyOwner() *node {
	for _, n := range w.live() {
		for _, p := range n.status().Partitions {
			if p.Owner == n.host {
				return n
			}
		}
	}
	return nil
}

// TestOwnerDeath guards against partitions that stay without an owner for more
// than 5 s after their owner was lost.
func TestOwnerDeath(t *testing.T) {
	w := smallWorld(3)
	w.run(4 * time.Second)
	w.nodes[0].applySheet(1, portalRow(4))
	w.run(2 * time.Second)
	w.anyOwner().kill()
	if !w.runUntil(5*time.Second, w.settled) {
		t.Errorf("partitions without an owner 5 s after it was killed: %v", w.owners())
	}
	w.check(t)
}

// TestFrozenOwner guards against a paused owner that continues to act after
// another host took its partitions over.
func TestFrozenOwner(t *testing.T) {
	w := smallWorld(4)
	w.run(4 * time.Second)
	w.nodes[0].applySheet(1, portalRow(4))
	w.run(2 * time.Second)
	n := w.anyOwner()
	n.freeze()
	if !w.runUntil(5*time.Second, w.settled) {
		t.Fatalf("partitions without an owner: %v", w.owners())
	}
	n.thaw()
	if !w.runUntil(3*time.Second, w.settled) {
		t.Errorf("two owners after the pause: %v", w.owners())
	}
	w.check(t)
}

// TestOwnerCutOffFromStore guards against an owner that keeps its partitions while it alone
// cannot reach the store, and against a takeover by a host that cannot reach
// it.
func TestOwnerCutOffFromStore(t *testing.T) {
	w := smallWorld(5)
	w.run(4 * time.Second)
	n := w.anyOwner()
	w.cut(n.address, "store", true)
	w.run(10 * time.Second)
	for p, hosts := range w.owners() {
		for _, h := range hosts {
			if h != n.host {
				continue
			}
			if len(hosts) == 1 {
				t.Errorf("partition %d stays with a host that cannot reach the store", p)
			}
		}
	}
	w.cut(n.address, "store", false)
	if !w.runUntil(10*time.Second, w.settled) {
		t.Errorf("not settled after the cut: %v", w.owners())
	}
	w.check(t)
}

// TestLostCommitAnswers guards against treating the lost answer of a commit as
// a refusal: the sheet must be accepted once and no partition may be lost.
func TestLostCommitAnswers(t *testing.T) {
	w := smallWorld(6)
	w.store.lose = 300
	w.run(10 * time.Second)
	w.nodes[0].applySheet(1, portalRow(4))
	w.run(10 * time.Second)
	r, ok := reply[control.ApplyReply](w.nodes[0], 1)
	if !ok || !r.Accepted || r.Generation != 1 {
		t.Errorf("apply: %+v", r)
	}
	w.check(t)
}

// TestOperatorsRace guards against lost updates when several operators apply at
// the same time: disjoint changes must be merged and overlapping ones refused.
func TestOperatorsRace(t *testing.T) {
	w := smallWorld(7)
	w.run(4 * time.Second)
	w.nodes[0].applySheet(1, portalRow(1))
	w.run(3 * time.Second)
	other := portalRow(1)
	other.Name = "quotes"
	w.nodes[0].applySheet(2, portalRow(2))
	w.nodes[1].applySheet(2, portalRow(1), other)
	w.nodes[2].applySheet(2, portalRow(3))
	w.run(5 * time.Second)
	accepted := 0
	for _, n := range w.nodes {
		r, ok := reply[control.ApplyReply](n, 2)
		if !ok {
			t.Fatalf("%s did not answer", n.host)
		}
		if r.Accepted {
			accepted++
		} else if len(r.Conflicts) != 1 || r.Conflicts[0].Name != "portal" || r.OtherAuthor == "" {
			t.Errorf("%s: refusal without the conflicting row: %+v", n.host, r)
		}
	}
	if accepted != 2 {
		t.Errorf("%d of 3 accepted, want the added row and one of the two changes", accepted)
	}
	if st := w.nodes[0].status(); len(st.Services) != 2 {
		t.Errorf("services after the merge: %+v", st.Services)
	}
	w.check(t)
}

// TestTakeoverKeepsTargets guards against calls without targets after the loss of
// an owner: the targets that its successor adopts must stay in the routes
// even before their workers have answered it.
func TestTakeoverKeepsTargets(t *testing.T) {
	w := smallWorld(17)
	w.run(4 * time.Second)
	w.nodes[0].applySheet(1, portalRow(4))
	w.run(3 * time.Second)
	w.anyOwner().kill()
	end := w.now + 6*time.Second
	for w.now < end {
		w.run(time.Millisecond)
		for _, n := range w.live() {
			if targets := n.status().Services[0].Targets; targets != 4 {
				t.Fatalf("%s routes to %d of 4 targets at %v", n.host, targets, w.now)
			}
		}
	}
	w.check(t)
}

// TestWritesAreSpaced guards against overloading the store when there are many
// partitions: all together must stay within 200 transactions a second.
func TestWritesAreSpaced(t *testing.T) {
	const partitions, spacing = 64, 64 * time.Second / 200
	w := newWorld(64, partitions)
	for i := range 64 {
		w.addWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("rack%02d", i), structs.Resources{MilliCores: 64000, MemoryMB: 64000})
	}
	w.addNode("e0", 1)
	last := make(map[structs.RowKey]time.Duration)
	spaced := 0
	w.store.onCommit = func(writes []structs.Write) {
		for _, x := range writes {
			row, ok := x.Row.(structs.PartitionRow)
			if !ok || row.Sequence < 3 { // the first write follows the takeover at once
				continue
			}
			if before, ok := last[x.Key]; ok && w.now-before < spacing {
				t.Errorf("%s is written again after %v, want at least %v", x.Key, w.now-before, spacing)
			}
			last[x.Key] = w.now
			spaced++
		}
	}
	w.run(4 * time.Second)
	var rows []structs.SheetRow
	for i := range 200 {
		row := portalRow(8)
		row.Name = fmt.Sprintf("row%03d", i)
		row.Kind, row.RunTimeMS = structs.KindBatch, 500
		rows = append(rows, row)
	}
	w.nodes[0].applySheet(1, rows...)
	w.run(5 * time.Second)
	if spaced < partitions {
		t.Errorf("only %d writes seen", spaced)
	}
	w.check(t)
}

// Guards against a read of the partitions' rows that ends with a page of the store: the
// rows behind it seemed not to change, and while heartbeats were lost each host tried to
// take those partitions from their owners again and again.
func TestPartitionsBeyondOnePage(t *testing.T) {
	w := newWorld(9, 520)
	a, b := w.addNode("a", 1), w.addNode("b", 1)
	w.run(140 * time.Second) // until both have their share
	w.cut(a.address, b.address, true)
	w.run(2 * time.Second)
	attempts := 0
	for _, n := range w.nodes {
		n.observe = func(_ control.Event, effects []control.Effect) {
			for _, e := range effects {
				if c, ok := e.(control.Commit); ok {
					if row, ok := c.Writes[0].Row.(structs.PartitionRow); ok && row.Sequence == 1 {
						attempts++
					}
				}
			}
		}
	}
	w.run(10 * time.Second)
	if attempts > 0 {
		t.Errorf("%d attempts to take a partition from an owner that renews", attempts)
	}
	w.checkViolations(t)
}

// spoil replaces rows of the store by ones that cannot be decoded.
func (w *world) spoil(keys ...structs.RowKey) {
	for _, key := range keys {
		w.store.revision++
		w.store.set(structs.Write{Key: key, Row: structs.UnreadableRow{}})
	}
}

// Guards against one row that cannot be decoded and that keeps its partition from being
// loaded for ever, lets a task run twice, or frees capacity that is in use.
func TestUnreadableRowsOfAPartition(t *testing.T) {
	w := taskWorld(11, 1, 8)
	study, portal := batchRow("study", 10, 4000, time.Hour), portalRow(4)
	w.apply(t, study, portal)
	w.expect(t, 15*time.Second, "all run", func() bool { return len(w.runs("study"))+len(w.runs("portal")) == 14 })
	used := w.committed()
	odd := w.runs("study")[0].ref.Task
	owner := w.anyOwner()
	before := make(map[structs.TaskID]structs.Run)
	for _, r := range w.runs("study") {
		before[r.ref.Task] = r.ref.Run
	}
	owner.kill()
	w.spoil(structs.TaskKey(0, odd), structs.WorkerKey(0, w.busiest().spec.ID))
	w.expect(t, 15*time.Second, "another owner", func() bool { return w.countDecisions("took over", "") == 2 })
	w.run(60 * time.Second)
	if n := w.countDecisions("requeued", ""); n != 0 {
		t.Errorf("%d runs of the worker with the unreadable row were taken for over", n)
	}
	for _, r := range w.runs("study") {
		if r.ref.Task != odd && r.ref.Run != before[r.ref.Task] {
			t.Errorf("%s is in run %d, run %d before", r.ref.Task, r.ref.Run, before[r.ref.Task])
		}
	}
	if n := len(w.runs("study")); n < 9 || n > 10 {
		t.Errorf("%d tasks of the study run, want the 9 readable ones", n)
	}
	if n := w.countDecisions("row cannot be read", ""); n != 2 {
		t.Errorf("%d rows were reported as unreadable, want 2", n)
	}
	w.apply(t, study, portalRow(6), batchRow("more", 2, 1000, time.Hour))
	w.expect(t, 15*time.Second, "new work runs", func() bool { return len(w.runs("portal")) == 6 && len(w.runs("more")) == 2 })
	if _, unreadable := w.store.get(structs.TaskKey(0, odd)).Row.(structs.UnreadableRow); !unreadable {
		t.Error("the unreadable row of the task was overwritten")
	}
	if more := w.committed(); more.MilliCores < used.MilliCores-4000 {
		t.Errorf("%+v are committed, %+v before", more, used)
	}
	w.check(t)
}

// Guards against the unreadable row of one partition that keeps hosts from taking over
// the others, or under which the partition is taken with a lower epoch.
func TestUnreadablePartitionRow(t *testing.T) {
	w := taskWorld(12, 3, 8)
	w.apply(t, portalRow(6))
	w.expect(t, 15*time.Second, "all run", func() bool { return len(w.runs("portal")) == 6 })
	owned := w.owners()
	dead := w.anyOwner()
	for _, n := range w.nodes {
		if len(owned[0]) == 1 && n.host == owned[0][0] {
			dead = n
		}
	}
	dead.kill()
	w.spoil(structs.PartitionKey(0), structs.EntryHostKey(dead.host))
	w.run(30 * time.Second)
	for p := range structs.PartitionID(3) {
		if n := len(w.owners()[p]); p > 0 && n != 1 || p == 0 && n != 0 {
			t.Errorf("partition %d has %d owners", p, n)
		}
	}
	for _, n := range w.live() {
		if !n.status().StoreReachable {
			t.Errorf("%s takes the store for unreachable", n.host)
		}
	}
	w.check(t)
}
