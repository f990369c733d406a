package control_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/internal/testseed"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// taskFuzz drives a world with faults and changes of the sheet.
type taskFuzz struct {
	w           *world
	incarnation int
	request     control.OperatorRequestID
	stopped     map[string]bool
}

// TestTaskInvariants guards the task life cycle under combined faults: no worker
// is over-committed, no task runs twice, no run starts twice, and after the
// faults end the sheet is applied and nothing else holds a commitment.
func TestTaskInvariants(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		f := &taskFuzz{w: taskWorld(rapid.Uint64().Draw(t, "world"), rapid.IntRange(1, 3).Draw(t, "partitions"), 8), stopped: make(map[string]bool), incarnation: 1}
		f.w.log = func(format string, args ...any) { t.Logf(format, args...) }
		f.applySheet(t)
		t.Repeat(map[string]func(*rapid.T){
			"":            f.check,
			"run":         f.advance,
			"runLong":     func(t *rapid.T) { f.w.run(rapid.SampledFrom([]time.Duration{8, 20, 60}).Draw(t, "s") * time.Second) },
			"sheet":       f.applySheet,
			"stopRow":     f.stopRow,
			"worker":      f.workerFault,
			"owner":       f.entryHostFault,
			"store":       f.storeFault,
			"cut":         f.networkFault,
			"loseAnswers": f.loseAnswers,
			"refuse":      f.refuseRows,
			"badRow":      func(t *rapid.T) { f.w.failingRows["batch-a"] = rapid.Bool().Draw(t, "bad") },
		})
		f.endFaults()
		f.checkSettled(t)
	})
}

func (f *taskFuzz) check(t *rapid.T) {
	for _, v := range f.w.violations {
		t.Error(v)
	}
}

func (f *taskFuzz) advance(t *rapid.T) {
	f.w.run(time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond)
}

// applySheet applies a random sheet on a random node. The node may refuse it.
func (f *taskFuzz) applySheet(t *rapid.T) {
	var rows []structs.SheetRow
	if n := rapid.IntRange(0, 6).Draw(t, "portal"); n > 0 {
		portal := portalRow(n)
		portal.Request.MilliCores = rapid.SampledFrom([]int64{1000, 1500}).Draw(t, "size")
		portal.LatencyTargetMS = 50
		rows = append(rows, portal)
	}
	for _, name := range []string{"batch-a", "batch-b"} {
		if n := rapid.IntRange(0, 8).Draw(t, name); n > 0 {
			row := batchRow(name, n, rapid.SampledFrom([]int64{1000, 4000, 7000}).Draw(t, "cores"), rapid.SampledFrom([]time.Duration{5, 60, 3600}).Draw(t, "s")*time.Second)
			row.Importance = structs.Importance(rapid.IntRange(0, 3).Draw(t, "importance"))
			rows = append(rows, row)
		}
	}
	live := f.w.live()
	if len(rows) == 0 || len(live) == 0 {
		return
	}
	f.request++
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	n := live[rapid.IntRange(0, len(live)-1).Draw(t, "node")]
	n.apply(control.ApplyRequested{Request: f.request, Author: "operator", Rows: rows, ConfirmRemovals: rapid.IntRange(0, 3).Draw(t, "removals")})
}

func (f *taskFuzz) stopRow(t *rapid.T) {
	live := f.w.live()
	if len(live) == 0 {
		return
	}
	f.request++
	live[0].apply(control.StopRequested{
		Request: f.request, Author: "operator", Resume: rapid.Bool().Draw(t, "resume"),
		Rows: []string{rapid.SampledFrom([]string{"portal", "batch-a", "batch-b"}).Draw(t, "row")},
	})
}

func (f *taskFuzz) workerFault(t *rapid.T) {
	x := f.w.workers[rapid.IntRange(0, len(f.w.workers)-1).Draw(t, "worker")]
	switch rapid.SampledFrom([]string{"die", "restart", "freeze", "thaw", "leave", "stay", "bad", "good", "stuck", "forgetful", "noisy"}).Draw(t, "what") {
	case "die":
		x.dead = true
	case "restart":
		x.restart()
	case "freeze":
		x.frozen = !x.dead
	case "thaw":
		if x.frozen && !x.dead {
			x.thaw()
		}
	case "leave":
		x.spec.State = structs.HostLeaving
	case "stay":
		x.spec.State = structs.HostLive
	case "bad":
		x.failsAll = true
	case "good":
		x.failsAll, x.noCheckpoints, x.usage = false, false, nil
	case "stuck":
		x.noCheckpoints = true
	case "forgetful":
		x.omitsStops = true
	case "noisy":
		x.usage = func(r *fakeRun) structs.UsageSample {
			return structs.UsageSample{Used: structs.Resources{MilliCores: 500, MemoryMB: 300}, LatencyMS: 90, AgeMS: 700}
		}
	}
}

func (f *taskFuzz) entryHostFault(t *rapid.T) {
	var alive []*node
	for _, n := range f.w.nodes {
		if n.alive {
			alive = append(alive, n)
		}
	}
	n := alive[rapid.IntRange(0, len(alive)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"die", "freeze", "thaw", "drain"}).Draw(t, "what") {
	case "die":
		n.kill()
		f.incarnation++
		f.w.addNode(string(n.host), f.incarnation)
	case "freeze":
		n.freeze()
	case "thaw":
		if n.frozen {
			n.thaw()
		}
	case "drain":
		if !n.frozen {
			n.apply(control.DrainRequested{})
			f.incarnation++
			f.w.addNode(fmt.Sprintf("%s-%d", n.host, f.incarnation), f.incarnation)
		}
	}
}

func (f *taskFuzz) storeFault(t *rapid.T) {
	st := f.w.store
	st.down = rapid.IntRange(0, 2).Draw(t, "down") == 0
	st.lose = rapid.SampledFrom([]int{0, 0, 50, 300}).Draw(t, "lose")
	st.slow = rapid.SampledFrom([]time.Duration{0, 0, 100, 900}).Draw(t, "slow") * time.Millisecond
}

func (f *taskFuzz) networkFault(t *rapid.T) {
	n := f.w.nodes[rapid.IntRange(0, len(f.w.nodes)-1).Draw(t, "node")]
	to := "store"
	if rapid.IntRange(0, 3).Draw(t, "peer") == 0 {
		to = f.w.nodes[rapid.IntRange(0, len(f.w.nodes)-1).Draw(t, "other")].address
	} else if i := rapid.IntRange(-1, len(f.w.workers)-1).Draw(t, "worker"); i >= 0 {
		to = f.w.workers[i].spec.Address
	}
	f.w.cut(n.address, to, rapid.Bool().Draw(t, "on"))
}

func (f *taskFuzz) loseAnswers(t *rapid.T) {
	x := f.w.workers[rapid.IntRange(0, len(f.w.workers)-1).Draw(t, "worker")]
	x.loseAnswers = rapid.SampledFrom([]int{0, 0, 100, 500}).Draw(t, "lose")
}

// refuseRows makes the store refuse some rows for good, until the next draw.
func (f *taskFuzz) refuseRows(t *rapid.T) {
	refused := rapid.SampledFrom([]string{"", "", "batch-a", "portal", "workers", "all"}).Draw(t, "rows")
	f.w.store.rejects = func(x structs.Write) bool {
		switch row := x.Row.(type) {
		case structs.TaskRow:
			return refused == "all" || row.Row == refused
		case structs.WorkerRow:
			return refused == "all" || refused == "workers"
		}
		return refused == "all"
	}
}

// endFaults ends all faults and runs the world for four minutes.
func (f *taskFuzz) endFaults() {
	w := f.w
	w.cuts = make(map[[2]string]bool)
	w.store.down, w.store.lose, w.store.slow, w.store.rejects = false, 0, 0, nil
	w.failingRows = make(map[string]bool)
	for _, x := range w.workers {
		x.failsAll, x.noCheckpoints, x.usage, x.loseAnswers = false, false, nil, 0
		x.spec.State = structs.HostLive
		switch {
		case x.dead:
			x.restart()
		case x.frozen:
			x.thaw()
		}
	}
	for _, n := range w.nodes {
		if n.frozen && n.alive {
			n.thaw()
		}
	}
	w.run(4 * time.Minute)
}

// checkSettled checks that the tasks and runs match the configuration in force.
func (f *taskFuzz) checkSettled(t *rapid.T) {
	// A run that is just ending may be about to be replaced by the next one.
	f.w.runUntil(20*time.Second, func() bool {
		assigned, runs := 0, 0
		for _, name := range []string{"portal", "batch-a", "batch-b"} {
			assigned += f.w.inPhase(name, structs.TaskAssigned) + f.w.inPhase(name, structs.TaskEvicting)
			runs += len(f.w.runs(name))
		}
		return assigned == runs
	})
	f.check(t)
	head, ok := f.w.store.rows[structs.ConfigHeadKey].Row.(structs.ConfigHead)
	if !ok {
		return
	}
	conf := f.w.store.objects[head.Object]
	stopped := make(map[string]bool)
	for _, name := range conf.Stopped {
		stopped[name] = true
	}
	var running structs.Resources
	wanted := make(map[string]structs.SheetRow)
	for _, row := range conf.Rows {
		wanted[row.Name] = row
	}
	for _, name := range []string{"portal", "batch-a", "batch-b"} {
		row := wanted[name]
		tasks, runs := f.w.tasks(name), f.w.runs(name)
		if len(tasks) != row.Count && !(stopped[name] && len(tasks) < row.Count) {
			t.Errorf("%s: %d tasks, want %d: %+v", name, len(tasks), row.Count, tasks)
		}
		if stopped[name] && len(runs) > 0 {
			t.Errorf("%s: %d runs of a stopped row", name, len(runs))
		}
		if assigned := f.w.inPhase(name, structs.TaskAssigned) + f.w.inPhase(name, structs.TaskEvicting); assigned != len(runs) {
			t.Errorf("%s: %d tasks are assigned, but %d run", name, assigned, len(runs))
		}
		failed := f.w.inPhase(name, structs.TaskFailed)
		// Batch of the same or higher importance may occupy the workers.
		mayWait := wanted["batch-a"].Importance >= row.Importance || wanted["batch-b"].Importance >= row.Importance
		if row.Kind == structs.KindService && !stopped[name] && !mayWait && len(runs)+failed != row.Count {
			t.Errorf("%s: %d replicas run, want %d", name, len(runs), row.Count)
		}
		for _, r := range runs {
			running = running.Add(r.spec.Request)
		}
	}
	if c := f.w.committed(); c != running {
		t.Errorf("committed resources %+v, want those of the runs %+v", c, running)
	}
}
