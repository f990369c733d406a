package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

// Result is what a run has shown.
type Result struct {
	Violations []string
	Owed       []string // what had not settled within the limit after the last fault
	Faults     []string // in order
	Counts     map[string]int
}

// Failed reports whether a promise was broken.
func (r Result) Failed() bool { return len(r.Violations) > 0 || len(r.Owed) > 0 }

const (
	callerCount = 12
	startTime   = 4 * time.Second // until a first leader schedules
	faultsFor   = 15 * time.Second
	meanPause   = 600 * time.Millisecond // between faults
	// settleLimit is how long accepted jobs may take once all faults are over: a
	// lease of the leader and of workers, a late order, and the work.
	settleLimit = 45 * time.Second
	settlePoll  = 500 * time.Millisecond
)

// fault is one kind of trouble. It returns what it does, and what ends it.
type fault func(f *Fleet, rng *rand.Rand) (string, func())

// Run plays one seed.
func Run(seed uint64, size Size, program, folder string) (Result, error) {
	f, err := NewFleet(size, program, folder)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	time.Sleep(startTime)
	c := &callers{fleet: f, seed: seed, counts: make(map[string]int)}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.run(ctx, callerCount) })
	result := Result{Counts: c.counts}
	result.Faults = inject(f, rand.New(rand.NewPCG(seed, seed)))
	stop()
	group.Wait()
	result.Owed = c.settle()
	result.Violations = f.Referee.Violations()
	return result, nil
}

// inject plays faults that overlap, and ends all of them.
func inject(f *Fleet, rng *rand.Rand) []string {
	var names []string
	type ending struct {
		at  time.Time
		end func()
	}
	var endings []ending
	began := time.Now()
	for time.Since(began) < faultsFor {
		kept := endings[:0]
		for _, e := range endings {
			if time.Now().Before(e.at) {
				kept = append(kept, e)
				continue
			}
			e.end()
		}
		endings = kept
		name, end := faults[rng.IntN(len(faults))](f, rng)
		lasts := 300*time.Millisecond + time.Duration(rng.Int64N(int64(5*time.Second)))
		names = append(names, fmt.Sprintf("%5.1f s: %s, for %.1f s", time.Since(began).Seconds(), name, lasts.Seconds()))
		endings = append(endings, ending{time.Now().Add(lasts), end})
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanPause))))
	}
	for _, e := range endings {
		e.end()
	}
	return names
}

// settle waits until all that was accepted has ended.
func (c *callers) settle() []string {
	rng := rand.New(rand.NewPCG(c.seed, ^uint64(0)))
	client := newClient()
	final := make(map[string]string)
	state := func(id string) string {
		if s := final[id]; s == "completed" || s == "failed" {
			return s
		}
		final[id] = c.state(rng, client, id)
		return final[id]
	}
	var owed []string
	for began := time.Now(); time.Since(began) < settleLimit; time.Sleep(settlePoll) {
		if owed = c.fleet.Referee.Unsettled(state); len(owed) == 0 {
			return nil
		}
	}
	return owed
}

func (f *Fleet) anyHost(rng *rand.Rand) *host     { return f.hosts[rng.IntN(len(f.hosts))] }
func (f *Fleet) anyWorker(rng *rand.Rand) *worker { return f.workers[rng.IntN(len(f.workers))] }

// faults are the kinds of trouble that a run draws from.
var faults = []fault{
	killHost, killHost, freezeHost, freezeHost, stopHost, killAllHosts, hangupHost,
	cutHost, cutHost, storeFault, storeFault, compactStore, changeConfiguration, strangeEntry,
	cutWorker, cutWorker, crashWorker, crashWorker, replaceWorker, grayWorker, lateOrders,
}

func killHost(f *Fleet, rng *rand.Rand) (string, func()) {
	h := f.anyHost(rng)
	h.kill()
	return "kill " + h.name, h.restart
}

// restart starts the process again unless another fault has done so.
func (h *host) restart() {
	h.mu.Lock()
	alive := h.process.Alive()
	h.mu.Unlock()
	if alive {
		return
	}
	if err := h.start(); err != nil {
		panic(err) // the program started before
	}
}

func killAllHosts(f *Fleet, _ *rand.Rand) (string, func()) {
	for _, h := range f.hosts {
		h.kill()
	}
	return "kill all hosts", func() {
		for _, h := range f.hosts {
			h.restart()
		}
	}
}

func freezeHost(f *Fleet, rng *rand.Rand) (string, func()) {
	h := f.anyHost(rng)
	h.freeze()
	return "freeze " + h.name, h.thaw
}

func stopHost(f *Fleet, rng *rand.Rand) (string, func()) {
	h := f.anyHost(rng)
	h.thaw()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.stop()
	}()
	return "stop " + h.name, func() {
		<-ended
		h.restart()
	}
}

func hangupHost(f *Fleet, rng *rand.Rand) (string, func()) {
	h := f.anyHost(rng)
	_ = h.process.Hangup() // the process may have ended
	return "hang up " + h.name, func() {}
}

func drawLinkFault(rng *rand.Rand) (string, LinkFault) {
	names := map[LinkFault]string{LinkReset: "reset", LinkSilent: "silence", LinkNoReply: "cut the replies of", LinkDelayed: "delay"}
	fault := LinkReset + LinkFault(rng.IntN(int(LinkDelayed)))
	return names[fault], fault
}

func cutHost(f *Fleet, rng *rand.Rand) (string, func()) {
	h := f.anyHost(rng)
	name, fault := drawLinkFault(rng)
	h.link.SetFault(fault)
	return name + " the store for " + h.name, func() { h.link.SetFault(LinkWhole) }
}

func cutWorker(f *Fleet, rng *rand.Rand) (string, func()) {
	w := f.anyWorker(rng)
	name, fault := drawLinkFault(rng)
	w.link.SetFault(fault)
	return name + " worker " + w.ID, func() { w.link.SetFault(LinkWhole) }
}

func storeFault(f *Fleet, rng *rand.Rand) (string, func()) {
	kinds := []struct {
		name   string
		faults jobplatform.StoreFaults
	}{
		{"the store refuses", jobplatform.StoreFaults{Refuse: true}},
		{"the store is silent", jobplatform.StoreFaults{Silent: true}},
		{"the store is slow", jobplatform.StoreFaults{Slow: 400 * time.Millisecond}},
		{"answers of the store are lost", jobplatform.StoreFaults{Lost: 0.35}},
		{"the store performs late", jobplatform.StoreFaults{Late: 0.3}},
	}
	kind := kinds[rng.IntN(len(kinds))]
	f.Store.SetFaults(kind.faults)
	return kind.name, func() { f.Store.SetFaults(jobplatform.StoreFaults{}) }
}

func compactStore(f *Fleet, _ *rand.Rand) (string, func()) {
	f.Store.Compact()
	return "the store forgets its history", func() {}
}

func changeConfiguration(f *Fleet, _ *rand.Rand) (string, func()) {
	f.Configure()
	return "change the configuration", func() {}
}

// strangeEntry writes an entry to the list of workers that names no worker.
func strangeEntry(f *Fleet, rng *rand.Rand) (string, func()) {
	entries := []string{`{"Service":7}`, `not JSON`, `{"Service":"workers","Address":"127.0.0.1:1","State":"odd","Capacity":{}}`, ``}
	key := fmt.Sprintf("x%d", rng.IntN(3))
	f.Store.Put("servers", key, []byte(entries[rng.IntN(len(entries))]))
	return "strange entry " + key, func() { f.Store.Remove("servers", key) }
}

func crashWorker(f *Fleet, rng *rand.Rand) (string, func()) {
	w := f.anyWorker(rng)
	w.Crash()
	w.link.Reset()
	return "crash worker " + w.ID, func() {
		if !w.Alive() {
			w.Boot()
		}
	}
}

func replaceWorker(f *Fleet, rng *rand.Rand) (string, func()) {
	w := f.anyWorker(rng)
	w.Drain()
	return "drain worker " + w.ID, func() {
		for _, present := range f.workers {
			if present == w {
				if err := f.replace(w); err != nil {
					panic(err) // loopback ports are free
				}
				return
			}
		}
	}
}

func grayWorker(f *Fleet, rng *rand.Rand) (string, func()) {
	w := f.anyWorker(rng)
	faults := jobplatform.WorkerFaults{Fail: rng.IntN(2) == 0}
	faults.Hang = !faults.Fail
	w.SetFaults(faults)
	return "worker " + w.ID + " fails or stalls what it starts", func() { w.SetFaults(jobplatform.WorkerFaults{}) }
}

func lateOrders(f *Fleet, rng *rand.Rand) (string, func()) {
	w := f.anyWorker(rng)
	w.SetFaults(jobplatform.WorkerFaults{Late: 0.4})
	return "worker " + w.ID + " carries orders out late", func() { w.SetFaults(jobplatform.WorkerFaults{}) }
}
