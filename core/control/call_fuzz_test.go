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

// callFuzz is a simulated world and the calls and faults injected into it.
type callFuzz struct {
	w            *world
	requests     []string // ids of the requests sent
	lastKey      int
	incarnation  int
	leavingSince map[*fakeWorker]time.Duration // when each worker began to leave
	lost         map[*node]bool                // died or were frozen: their callers may get no answer
	ended        map[*node]bool                // ended by a drain and replaced
}

// TestCallInvariants guards against violated call guarantees under random calls
// and faults: a keyed call runs at most once, a call answered as not run never
// ran and never will, each call is answered exactly once unless its host was
// lost, and an answer belongs to its own request.
func TestCallInvariants(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		f := &callFuzz{w: smallWorld(rapid.Uint64().Draw(t, "seed")), incarnation: 1, lost: make(map[*node]bool), ended: make(map[*node]bool), leavingSince: make(map[*fakeWorker]time.Duration)}
		f.w.onCallArrival = f.checkArrival
		f.w.run(4 * time.Second)
		row := portalRow(4)
		row.Request.MilliCores = 5000 // one replica per worker
		quotes := portalRow(3)        // shares the workers' slots
		quotes.Name, quotes.Importance = "quotes", structs.ImportanceLow
		f.w.nodes[0].applySheet(1, row, quotes)
		f.w.run(4 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"get":             func(t *rapid.T) { f.send(t, "GET", "") },
			"post":            func(t *rapid.T) { f.send(t, "POST", "") },
			"order":           func(t *rapid.T) { f.lastKey++; f.send(t, "POST", fmt.Sprint("k", f.lastKey)) },
			"repeat":          f.repeatKeyedCall,
			"burst":           f.burst,
			"leave":           f.callerLeaves,
			"order and leave": f.keyedCallAndLeave,
			"entry host":      f.entryHostFault,
			"store":           f.storeFault,
			"worker":          f.workerFault,
			"time":            f.advance,
			"":                f.check,
		})
		f.endFaultsAndCheck(t)
	})
}

func (f *callFuzz) drawNode(t *rapid.T) *node {
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
	f.requests = append(f.requests, f.w.send(f.drawNode(t), f.serviceOf(key), method, key))
}

// serviceOf returns the service for a key; calls without a key alternate.
func (f *callFuzz) serviceOf(key string) string {
	if n := len(f.requests); key == "" && n%2 == 1 || strings.HasSuffix(key, "3") {
		return "quotes"
	}
	return "portal"
}

// repeatKeyedCall sends a recent keyed call again, through any entry host.
func (f *callFuzz) repeatKeyedCall(t *rapid.T) {
	if f.lastKey == 0 {
		t.Skip("no keyed call yet")
	}
	f.send(t, "POST", fmt.Sprint("k", rapid.IntRange(max(1, f.lastKey-3), f.lastKey).Draw(t, "key")))
}

func (f *callFuzz) burst(t *rapid.T) {
	n := f.drawNode(t)
	for range rapid.IntRange(10, 60).Draw(t, "calls") {
		f.requests = append(f.requests, f.w.send(n, f.serviceOf(""), "GET", ""))
	}
}

func (f *callFuzz) callerLeaves(t *rapid.T) {
	if len(f.requests) == 0 {
		t.Skip("no call yet")
	}
	last := f.requests[max(0, len(f.requests)-5):]
	f.w.callerLeaves(rapid.SampledFrom(last).Draw(t, "call"))
}

// keyedCallAndLeave sends a keyed call and closes the caller's connection while
// the call is in progress.
func (f *callFuzz) keyedCallAndLeave(t *rapid.T) {
	f.lastKey++
	f.send(t, "POST", fmt.Sprint("k", f.lastKey))
	f.w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
	f.w.callerLeaves(f.requests[len(f.requests)-1])
}

func (f *callFuzz) entryHostFault(t *rapid.T) {
	n := f.drawNode(t)
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

// replace starts a new entry host process in place of one that ended.
func (f *callFuzz) replace(n *node) {
	f.incarnation++
	f.w.addNode(string(n.host), f.incarnation)
}

func (f *callFuzz) storeFault(t *rapid.T) {
	st := f.w.store
	st.down = rapid.IntRange(0, 3).Draw(t, "down") == 0
	st.slow = time.Duration(rapid.SampledFrom([]int{0, 0, 50, 600, 1500}).Draw(t, "slow ms")) * time.Millisecond
	st.lose = rapid.SampledFrom([]int{0, 0, 100, 500}).Draw(t, "lose")
}

func (f *callFuzz) workerFault(t *rapid.T) {
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
			x.spec.State, f.leavingSince[x] = structs.HostLeaving, f.w.now
		}
	}
}

// checkArrival checks that no new call is sent to a worker that has been
// leaving for longer than one interval of host list reads plus the delay of a
// message.
func (f *callFuzz) checkArrival(a *attempt, x *fakeWorker) {
	if x.leaving() && !x.frozen && !f.lost[a.n] && a.sent > f.leavingSince[x]+2500*time.Millisecond {
		f.w.recordViolation("%s sent call %s to %s, which has been leaving since %v", a.n.host, a.id, x.spec.ID, f.leavingSince[x])
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

func (f *callFuzz) advance(t *rapid.T) {
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

// endFaultsAndCheck ends all faults, runs until the calls have ended, and checks
// that each was answered and that no call or claim is left over.
func (f *callFuzz) endFaultsAndCheck(t *rapid.T) {
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
	for _, id := range f.requests {
		if c := f.w.callers[id]; !c.answered && !c.left && !c.truncated && !f.lost[c.node] && !slices.Contains(c.node.unfinished, id) {
			t.Fatalf("call %s at %s was never answered", id, c.node.host)
		}
	}
	for _, n := range f.w.live() {
		for _, v := range n.status().Services {
			if v.InFlight != 0 || v.Queued != 0 {
				t.Fatalf("%s still counts calls after all have ended: %+v", n.host, v)
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
