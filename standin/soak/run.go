package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

// Result is the outcome of a run.
type Result struct {
	Violations []string
	Unsettled  []string       // what had not settled within settleTimeout after the last fault
	Faults     []string       // injected faults in order
	Counts     map[string]int // results that callers saw
}

// Failed reports whether the run broke a guarantee or left anything unsettled.
func (r Result) Failed() bool { return len(r.Violations) > 0 || len(r.Unsettled) > 0 }

const (
	callerCount       = 12
	startupWait       = 4 * time.Second // until the first leader schedules
	faultPeriod       = 15 * time.Second
	meanFaultInterval = 600 * time.Millisecond
	// settleTimeout bounds how long accepted jobs may take once all faults are over.
	// It covers a lease of the leader and of a worker, a late command and the work.
	settleTimeout      = 45 * time.Second
	settlePollInterval = 500 * time.Millisecond
)

// fault injects one kind of fault. It returns a description and a function that
// ends the fault.
type fault func(cluster *Cluster, rng *rand.Rand) (string, func())

// Run runs one seed: it starts a cluster of the given size with the scheduler
// binary program, injects faults of a mix under load, and checks that everything settles.
// Logs and settings of the hosts go to the folder.
func Run(seed uint64, mix Mix, size Size, program, folder string) (Result, error) {
	cluster, err := NewCluster(size, program, folder)
	if err != nil {
		return Result{}, err
	}
	defer cluster.Close()
	endEvacuation := func() {}
	if size.Evacuates {
		endEvacuation = cluster.evacuate()
	}
	time.Sleep(startupWait)
	callers := &callerPool{cluster: cluster, seed: seed, counts: make(map[string]int)}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { callers.run(ctx, callerCount) })
	result := Result{Counts: callers.counts}
	result.Faults = injectFaults(cluster, mix, rand.New(rand.NewPCG(seed, seed)))
	endEvacuation()
	stop()
	group.Wait()
	result.Unsettled = callers.awaitSettled()
	result.Violations = cluster.violations()
	return result, nil
}

// violations returns what callers and workers have seen, and the transactions that were
// over a limit of the store.
func (c *Cluster) violations() []string {
	all := c.Checker.Violations()
	for _, reason := range c.Store.Rejected() {
		all = append(all, "OVER LIMIT: "+reason)
	}
	return all
}

// injectFaults injects overlapping faults for faultPeriod, ends all of them and
// returns their descriptions.
func injectFaults(cluster *Cluster, mix Mix, rng *rand.Rand) []string {
	faults := mix.faults()
	var descriptions []string
	type activeFault struct {
		until time.Time
		end   func()
	}
	var active []activeFault
	began := time.Now()
	for time.Since(began) < faultPeriod {
		remaining := active[:0]
		for _, a := range active {
			if time.Now().Before(a.until) {
				remaining = append(remaining, a)
				continue
			}
			a.end()
		}
		active = remaining
		description, end := faults[rng.IntN(len(faults))](cluster, rng)
		duration := 300*time.Millisecond + time.Duration(rng.Int64N(int64(5*time.Second)))
		descriptions = append(descriptions, fmt.Sprintf("%5.1f s: %s, for %.1f s", time.Since(began).Seconds(), description, duration.Seconds()))
		active = append(active, activeFault{time.Now().Add(duration), end})
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanFaultInterval))))
	}
	for _, a := range active {
		a.end()
	}
	return descriptions
}

// awaitSettled waits until every accepted job has settled, and returns what has
// not within settleTimeout.
func (c *callerPool) awaitSettled() []string {
	rng := rand.New(rand.NewPCG(c.seed, ^uint64(0)))
	client := newClient()
	final := make(map[string]string)
	state := func(id string) string {
		if s := final[id]; s == "completed" || s == "failed" {
			return s
		}
		final[id] = c.queryState(rng, client, id)
		return final[id]
	}
	c.cluster.Checker.CheckUnknownJob(unknownJob, c.queryUnknown(rng, client))
	var unsettled []string
	for began := time.Now(); time.Since(began) < settleTimeout; time.Sleep(settlePollInterval) {
		if unsettled = c.cluster.Checker.Unsettled(state); len(unsettled) == 0 {
			return nil
		}
	}
	return unsettled
}

func (c *Cluster) anyHost(rng *rand.Rand) *host     { return c.hosts[rng.IntN(len(c.hosts))] }
func (c *Cluster) anyWorker(rng *rand.Rand) *worker { return c.workers[rng.IntN(len(c.workers))] }

// faults are the kinds of faults that a run draws from. A kind that is listed
// twice is drawn twice as often.
var faults = []fault{
	killHost, killHost, freezeHost, freezeHost, stopHost, killAllHosts, signalReload,
	faultStoreLink, faultStoreLink, faultStore, faultStore, compactStore, changeConfiguration, addInvalidWorkerEntry,
	faultWorkerLink, faultWorkerLink, crashWorker, crashWorker, replaceWorker, failOrHangRuns, delayWorkerCommands,
}

func killHost(cluster *Cluster, rng *rand.Rand) (string, func()) {
	h := cluster.anyHost(rng)
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
		panic(err) // the same program has started before
	}
}

func killAllHosts(cluster *Cluster, _ *rand.Rand) (string, func()) {
	for _, h := range cluster.hosts {
		h.kill()
	}
	return "kill all hosts", func() {
		for _, h := range cluster.hosts {
			h.restart()
		}
	}
}

func freezeHost(cluster *Cluster, rng *rand.Rand) (string, func()) {
	h := cluster.anyHost(rng)
	h.freeze()
	return "freeze " + h.name, h.thaw
}

func stopHost(cluster *Cluster, rng *rand.Rand) (string, func()) {
	h := cluster.anyHost(rng)
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

func signalReload(cluster *Cluster, rng *rand.Rand) (string, func()) {
	h := cluster.anyHost(rng)
	_ = h.process.SignalReload() // the process may have ended
	return "send SIGHUP to " + h.name, func() {}
}

// drawLinkFault draws a fault and returns it with its description.
func drawLinkFault(rng *rand.Rand) (string, LinkFault) {
	names := map[LinkFault]string{LinkReset: "reset", LinkStalled: "stall", LinkRepliesStalled: "stall replies on", LinkDelayed: "delay"}
	fault := LinkReset + LinkFault(rng.IntN(int(LinkDelayed)))
	return names[fault], fault
}

func faultStoreLink(cluster *Cluster, rng *rand.Rand) (string, func()) {
	h := cluster.anyHost(rng)
	name, fault := drawLinkFault(rng)
	h.storeProxy.SetFault(fault)
	return name + " the link to the store of " + h.name, func() { h.storeProxy.SetFault(LinkHealthy) }
}

func faultWorkerLink(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	name, fault := drawLinkFault(rng)
	w.proxy.SetFault(fault)
	return name + " the link to worker " + w.ID, func() { w.proxy.SetFault(LinkHealthy) }
}

func faultStore(cluster *Cluster, rng *rand.Rand) (string, func()) {
	kinds := []struct {
		name   string
		faults jobplatform.StoreFaults
	}{
		{"the store refuses requests", jobplatform.StoreFaults{Down: true}},
		{"the store does not answer", jobplatform.StoreFaults{Hang: true}},
		{"the store answers slowly", jobplatform.StoreFaults{Delay: 400 * time.Millisecond}},
		{"the store loses answers to transactions", jobplatform.StoreFaults{LostAnswerRate: 0.35}},
		{"the store performs transactions late", jobplatform.StoreFaults{LateCommitRate: 0.3}},
	}
	kind := kinds[rng.IntN(len(kinds))]
	cluster.Store.SetFaults(kind.faults)
	return kind.name, func() { cluster.Store.SetFaults(jobplatform.StoreFaults{}) }
}

func compactStore(cluster *Cluster, _ *rand.Rand) (string, func()) {
	cluster.Store.Compact()
	return "compact the store's history", func() {}
}

func changeConfiguration(cluster *Cluster, _ *rand.Rand) (string, func()) {
	cluster.PublishConfiguration()
	return "change the configuration", func() {}
}

// addInvalidWorkerEntry adds an entry to the list of workers that is malformed
// or names no worker.
func addInvalidWorkerEntry(cluster *Cluster, rng *rand.Rand) (string, func()) {
	entries := []string{`{"Service":7}`, `not JSON`, `{"Service":"workers","Address":"127.0.0.1:1","State":"odd","Capacity":{}}`, ``}
	key := fmt.Sprintf("x%d", rng.IntN(3))
	cluster.Store.Put("servers", key, []byte(entries[rng.IntN(len(entries))]))
	return "add invalid worker entry " + key, func() { cluster.Store.Remove("servers", key) }
}

func crashWorker(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	w.Crash()
	w.proxy.Reset()
	return "crash worker " + w.ID, func() {
		if !w.Alive() {
			w.Boot()
		}
	}
}

func replaceWorker(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	w.Drain()
	return "drain worker " + w.ID, func() {
		for _, other := range cluster.workers {
			if other == w {
				if err := cluster.replacePermanently(w); err != nil {
					panic(err) // loopback ports are free
				}
				return
			}
		}
	}
}

// failOrHangRuns injects a gray failure: the worker answers, but fails or stalls
// every run that it starts.
func failOrHangRuns(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	faults := jobplatform.WorkerFaults{FailAll: rng.IntN(2) == 0}
	faults.StallRuns = !faults.FailAll
	w.SetFaults(faults)
	return "worker " + w.ID + " fails or stalls its runs", func() { w.SetFaults(jobplatform.WorkerFaults{}) }
}

func delayWorkerCommands(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	w.SetFaults(jobplatform.WorkerFaults{LateCommandRate: 0.4})
	return "worker " + w.ID + " executes commands late", func() { w.SetFaults(jobplatform.WorkerFaults{}) }
}
