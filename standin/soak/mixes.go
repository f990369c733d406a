package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

// Mix names the kinds of faults that a run draws from.
type Mix int

// String returns a prefix for the names of runs.
func (m Mix) String() string { return [...]string{"", "wide-", "open-"}[m] }

// The mixes. Each contains the one before it.
const (
	MixBasic Mix = iota
	MixWide      // more of what the platform's pages allow
	MixOpen      // kinds that show faults that are not fixed yet
)

const (
	maxOvertaking   = 1500 * time.Millisecond // delay of answers
	wideLateCommit  = 8 * time.Second
	shortHistory    = 3 // changes
	refusedCommands = 0.5
	lateCommands    = 0.25
)

// wideFaults and openFaults are what MixWide and MixOpen add to the basic faults.
var (
	wideFaults = []fault{
		bounceWorker, bounceWorker, refuseConnections, refuseConnections, removeEntry, overtakeAnswers, refuseCommands,
		performTransactionsLate, forgetHistory, stallRequestsToWorker, stallRequestsToStore, silenceWorker, bounceAllWorkers,
	}
	openFaults = []fault{holdUpCommands, holdUpCommands, changeKind}
)

// faults returns the kinds of a mix.
func (m Mix) faults() []fault {
	kinds := faults[:len(faults):len(faults)]
	if m >= MixWide {
		kinds = append(kinds, wideFaults...)
	}
	if m >= MixOpen {
		kinds = append(kinds, openFaults...)
	}
	return kinds
}

// bounce crashes a worker and starts it again at once.
func (w *worker) bounce(options jobplatform.BootOptions) {
	w.Crash()
	w.proxy.Reset()
	w.BootWith(options)
}

func bounceWorker(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	options := jobplatform.BootOptions{Unregistered: rng.IntN(2) == 0, BornEarlier: time.Duration(rng.IntN(2)) * time.Second}
	w.bounce(options)
	return "restart worker " + w.ID + " at once, its entry and start time may be late", func() { cluster.registerAgain(w) }
}

// registerAgain writes the entry of a worker that is up and has not been replaced.
func (c *Cluster) registerAgain(w *worker) {
	if c.has(w) && w.Alive() {
		w.Register()
	}
}

// has returns false for a worker that has been replaced.
func (c *Cluster) has(w *worker) bool { return slices.Contains(c.workers, w) }

func bounceAllWorkers(cluster *Cluster, _ *rand.Rand) (string, func()) {
	for _, w := range cluster.workers {
		w.bounce(jobplatform.BootOptions{})
	}
	return "restart all workers at once", func() {}
}

// refuseConnections has a worker that is down refuse connections.
func refuseConnections(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	w.Crash()
	w.proxy.Refuse()
	return "crash worker " + w.ID + ", which then refuses connections", func() {
		if cluster.has(w) && !w.Alive() {
			w.Boot()
		}
		w.admit()
	}
}

func removeEntry(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	w.Deregister()
	return "remove the entry of worker " + w.ID, func() { cluster.registerAgain(w) }
}

func faultWorker(w *worker, description string, faults jobplatform.WorkerFaults) (string, func()) {
	w.SetFaults(faults)
	return "worker " + w.ID + " " + description, func() { w.SetFaults(jobplatform.WorkerFaults{}) }
}

func overtakeAnswers(cluster *Cluster, rng *rand.Rand) (string, func()) {
	return faultWorker(cluster.anyWorker(rng), "sends answers that overtake each other", jobplatform.WorkerFaults{MaxAnswerDelay: maxOvertaking})
}

func refuseCommands(cluster *Cluster, rng *rand.Rand) (string, func()) {
	return faultWorker(cluster.anyWorker(rng), "refuses commands", jobplatform.WorkerFaults{RefusalRate: refusedCommands})
}

// holdUpCommands has commands executed late, also by the next incarnations, of which there
// is one at once.
func holdUpCommands(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	description, end := faultWorker(w, "executes commands late, by its next incarnation too", jobplatform.WorkerFaults{LateCommandRate: lateCommands, LateCommandsOutlive: true})
	return description, func() {
		if w.Alive() {
			w.bounce(jobplatform.BootOptions{})
		}
		end()
	}
}

// changeKind starts a worker again with another kind.
func changeKind(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	w.bounce(jobplatform.BootOptions{Kind: otherKind})
	return "worker " + w.ID + " comes back of another kind", func() {
		if w.Alive() {
			w.bounce(jobplatform.BootOptions{Kind: jobplatform.DefaultKind})
		}
	}
}

const otherKind = "b"

func faultWholeStore(cluster *Cluster, description string, faults jobplatform.StoreFaults) (string, func()) {
	cluster.Store.SetFaults(faults)
	return description, func() { cluster.Store.SetFaults(jobplatform.StoreFaults{}) }
}

func performTransactionsLate(cluster *Cluster, _ *rand.Rand) (string, func()) {
	return faultWholeStore(cluster, "the store performs transactions seconds later", jobplatform.StoreFaults{LateCommitRate: 0.2, MaxLateCommit: wideLateCommit})
}

func forgetHistory(cluster *Cluster, _ *rand.Rand) (string, func()) {
	return faultWholeStore(cluster, "the store keeps hardly any history", jobplatform.StoreFaults{MaxHistory: shortHistory})
}

func stallRequestsToWorker(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	w.proxy.SetFault(LinkRequestsStalled)
	return "stall requests on the link to worker " + w.ID, func() { w.proxy.SetFault(LinkHealthy) }
}

func stallRequestsToStore(cluster *Cluster, rng *rand.Rand) (string, func()) {
	h := cluster.anyHost(rng)
	h.storeProxy.SetFault(LinkRequestsStalled)
	return "stall requests on the link to the store of " + h.name, func() { h.storeProxy.SetFault(LinkHealthy) }
}

// silenceWorker stalls the link to a worker for longer than its lease, which expires.
func silenceWorker(cluster *Cluster, rng *rand.Rand) (string, func()) {
	w := cluster.anyWorker(rng)
	w.proxy.SetFault(LinkStalled)
	return "stall the link to worker " + w.ID + " until its lease has expired", func() {
		time.AfterFunc(cluster.size.MaxLease, func() { w.proxy.SetFault(LinkHealthy) })
	}
}
