package control_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/internal/testseed"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// callFuzz joins a world with the faults that a run has injected.
type callFuzz struct {
	w           *world
	ids         []string // requests sent
	keys        int
	incarnation int
	left        map[*fakeWorker]time.Duration // when workers began to leave
	lost        map[*node]bool                // died or froze: their callers may go unanswered
	ended       map[*node]bool                // ended by a drain, and replaced
}

// TestCallInvariants runs random calls and faults and checks that an order runs
// at most once, that "not run" never ran and never will, that each call is
// answered exactly once unless its host was lost, and that an answer belongs to
// its own request.
func TestCallInvariants(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		f := &callFuzz{w: smallWorld(rapid.Uint64().Draw(t, "seed")), incarnation: 1, lost: make(map[*node]bool), ended: make(map[*node]bool), left: make(map[*fakeWorker]time.Duration)}
		f.w.arriving = f.arriving
		f.w.run(4 * time.Second)
		row := portalRow(4)
		row.Request.MilliCores = 5000 // one to a worker
		quotes := portalRow(3)        // shares the workers' slots
		quotes.Name, quotes.Importance = "quotes", structs.ImportanceLow
		f.w.nodes[0].applySheet(1, row, quotes)
		f.w.run(4 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"get":             func(t *rapid.T) { f.send(t, "GET", "") },
			"post":            func(t *rapid.T) { f.send(t, "POST", "") },
			"order":           func(t *rapid.T) { f.keys++; f.send(t, "POST", fmt.Sprint("k", f.keys)) },
			"repeat":          f.repeat,
			"burst":           f.burst,
			"leave":           f.leave,
			"order and leave": f.orderAndLeave,
			"entry host":      f.entryHost,
			"store":           f.store,
			"worker":          f.worker,
			"time":            f.pass,
			"":                f.check,
		})
		f.heal(t)
	})
}

func (f *callFuzz) node(t *rapid.T) *node {
	var list []*node
	for _, n := range f.w.nodes {
		if n.alive {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		t.Skip("no entry host")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "host")]
}

func (f *callFuzz) send(t *rapid.T, method, key string) {
	f.ids = append(f.ids, f.w.send(f.node(t), f.service(key), method, key))
}

// service returns the service that a key belongs to; calls without one take
// turns.
func (f *callFuzz) service(key string) string {
	if n := len(f.ids); key == "" && n%2 == 1 || strings.HasSuffix(key, "3") {
		return "quotes"
	}
	return "portal"
}

// repeat sends an order again, through any entry host.
func (f *callFuzz) repeat(t *rapid.T) {
	if f.keys == 0 {
		t.Skip("no order yet")
	}
	f.send(t, "POST", fmt.Sprint("k", rapid.IntRange(max(1, f.keys-3), f.keys).Draw(t, "key")))
}

func (f *callFuzz) burst(t *rapid.T) {
	n := f.node(t)
	for range rapid.IntRange(10, 60).Draw(t, "calls") {
		f.ids = append(f.ids, f.w.send(n, f.service(""), "GET", ""))
	}
}

func (f *callFuzz) leave(t *rapid.T) {
	if len(f.ids) == 0 {
		t.Skip("no call yet")
	}
	last := f.ids[max(0, len(f.ids)-5):]
	f.w.leave(rapid.SampledFrom(last).Draw(t, "call"))
}

// orderAndLeave sends an order and leaves while it is under way.
func (f *callFuzz) orderAndLeave(t *rapid.T) {
	f.keys++
	f.send(t, "POST", fmt.Sprint("k", f.keys))
	f.w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
	f.w.leave(f.ids[len(f.ids)-1])
}

func (f *callFuzz) entryHost(t *rapid.T) {
	n := f.node(t)
	switch rapid.SampledFrom([]string{"die", "freeze", "thaw", "drain"}).Draw(t, "fault") {
	case "die":
		f.lost[n] = true
		n.kill()
		f.replace(n)
	case "freeze":
		f.lost[n] = true
		n.freeze()
	case "thaw":
		if n.frozen {
			n.thaw()
		}
	case "drain":
		n.apply(control.DrainRequested{})
	}
}

// replace starts a new process in place of one that ended.
func (f *callFuzz) replace(n *node) {
	f.incarnation++
	f.w.addNode(string(n.host), f.incarnation)
}

func (f *callFuzz) store(t *rapid.T) {
	st := f.w.store
	st.down = rapid.IntRange(0, 3).Draw(t, "down") == 0
	st.slow = time.Duration(rapid.SampledFrom([]int{0, 0, 50, 600, 1500}).Draw(t, "slow ms")) * time.Millisecond
	st.lose = rapid.SampledFrom([]int{0, 0, 100, 500}).Draw(t, "lose")
}

func (f *callFuzz) worker(t *rapid.T) {
	var list []*fakeWorker
	for _, x := range f.w.workers {
		if len(x.runs) > 0 || x.dead || x.leaving() {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		t.Skip("no worker runs anything")
	}
	x := list[rapid.IntRange(0, len(list)-1).Draw(t, "worker")]
	switch rapid.SampledFrom([]string{"die", "freeze", "recover", "lose", "fail", "slow", "leave"}).Draw(t, "fault") {
	case "die":
		x.dead = true
	case "freeze":
		x.frozen = true
	case "recover":
		f.recover(x)
	case "lose":
		x.loseAnswers = 300
	case "fail":
		x.failCalls = 500
	case "slow":
		x.serviceTime = 700 * time.Millisecond
	case "leave":
		if !x.leaving() {
			x.spec.State, f.left[x] = structs.HostLeaving, f.w.now
		}
	}
}

// arriving checks that no new call goes to a worker that has been leaving for
// longer than the host list is read and a message takes.
func (f *callFuzz) arriving(a *attempt, x *fakeWorker) {
	if x.leaving() && !x.frozen && !f.lost[a.n] && a.sent > f.left[x]+2500*time.Millisecond {
		f.w.violate("%s sent call %s to %s, which leaves since %v", a.n.host, a.id, x.spec.ID, f.left[x])
	}
}

func (f *callFuzz) recover(x *fakeWorker) {
	if x.dead {
		x.restart()
	}
	if x.frozen {
		x.thaw()
	}
	x.loseAnswers, x.failCalls, x.serviceTime, x.spec.State = 0, 0, 5*time.Millisecond, structs.HostLive
}

func (f *callFuzz) pass(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 5, 30, 300, 1200, 5000}).Draw(t, "ms")
	f.w.run(time.Duration(ms) * time.Millisecond)
	for _, n := range f.w.nodes {
		if n.stopped && !f.ended[n] {
			f.ended[n] = true
			f.replace(n)
		}
	}
}

func (f *callFuzz) check(t *rapid.T) {
	for _, v := range f.w.violations {
		t.Fatal(v)
	}
}

// heal ends all faults, lets the calls end, and checks that each was answered.
func (f *callFuzz) heal(t *rapid.T) {
	f.w.store.down, f.w.store.slow, f.w.store.lose = false, 0, 0
	for _, x := range f.w.workers {
		f.recover(x)
	}
	for _, n := range f.w.nodes {
		if n.frozen {
			n.thaw()
		}
	}
	f.w.run(45 * time.Second)
	f.check(t)
	for _, id := range f.ids {
		if c := f.w.callers[id]; !c.answered && !c.left && !c.cut && !f.lost[c.node] && !slices.Contains(c.node.unfinished, id) {
			t.Fatalf("call %s at %s was never answered", id, c.node.host)
		}
	}
	for _, n := range f.w.live() {
		for _, v := range n.status().Services {
			if v.InFlight != 0 || v.Queued != 0 {
				t.Fatalf("%s counts calls that have ended: %+v", n.host, v)
			}
		}
		rows, _ := f.w.store.list(structs.ClaimPrefix, "", 1<<20)
		for _, kr := range rows {
			if row := kr.Row.(structs.ClaimRow); row.State == structs.ClaimHeld && row.Instance == n.instance {
				t.Fatalf("%s never settled its claim %s", n.host, kr.Key)
			}
		}
	}
}
