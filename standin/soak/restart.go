package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

const (
	// idleTime is how long workers are idle before they restart: leaders synchronize idle
	// workers every few seconds, so that they do not notice most restarts by a sync.
	idleTime = 1300 * time.Millisecond
	// burstJobs is the number of jobs submitted right after the restarts.
	burstJobs     = 12
	burstLength   = 300 * time.Millisecond
	burstTaskWork = 1200 * time.Millisecond
	// jobSeedStride separates the seeds of the loads of a round.
	jobSeedStride = 1 << 32

	busyJobsPerSecond   = 15
	minShortWork        = 50 * time.Millisecond
	maxShortWork        = 300 * time.Millisecond
	minLongWork         = 2 * time.Second
	maxLongWork         = 6 * time.Second
	maxWorkerDown       = 3 * time.Second
	maxTwiceInterval    = 600 * time.Millisecond // between two restarts of a worker
	maxEntryDelay       = 3 * time.Second
	maxRestartLinkFault = 2500 * time.Millisecond
	maxBornEarlier      = time.Minute
	maxLeaderDown       = 2 * time.Second
)

// entryChange is what happens to the entry of a worker that restarts.
type entryChange int

const (
	entryAtOnce  entryChange = iota // the next incarnation writes it when it starts
	entryLate                       // the former entry stays for a while
	entryRemoved                    // it is removed at the crash
	entryChanges                    // their number
)

// leaderKill says whether the leaders are killed in a round of restarts.
type leaderKill int

const (
	leadersStay leaderKill = iota
	leadersKilledBefore
	leadersKilledAfter
	leaderKills // their number
)

// restartMix says what happens in a round of restarts. Without more than a share, idle
// workers crash and start again at once.
type restartMix struct {
	share    float64       // of the workers that restart
	down     time.Duration // longest time during which a worker is away and refuses connections
	twice    bool          // each worker restarts a second time shortly after the first
	bornLess bool          // the start time of the next incarnation is lower
	entry    entryChange
	leader   leaderKill
	link     LinkFault     // of the links to the restarted workers, right after the restarts
	busyWork time.Duration // work of the tasks that run during the restarts; 0: the workers are idle

	// Of MixWide.
	overtake bool // answers of all workers overtake each other
	// Of MixOpen. All of them have the next incarnation execute orders for the former one, or
	// for a worker of another kind.
	lapse     bool // the links to the restarted workers stall until the leases of the former incarnations have expired
	heldUp    bool // some commands are held up and executed by the next incarnation too
	otherKind bool // half of the workers come back of another kind, and all tasks need the former one
}

// String describes the mix in the list of faults of a failed run.
func (m restartMix) String() string {
	return fmt.Sprintf("%.0f%% of the workers restart, down up to %v, twice %t, lower start time %t, entry %s, leaders %s, link fault %d, busy with tasks of %v, lapse %t, overtake %t, held up %t, other kind %t",
		100*m.share, m.down, m.twice, m.bornLess, [...]string{"at once", "late", "removed"}[m.entry], [...]string{"stay", "killed before", "killed after"}[m.leader], m.link, m.busyWork,
		m.lapse, m.overtake, m.heldUp, m.otherKind)
}

// idleRestarts is the mix in which all workers, which are idle, start again at once.
var idleRestarts = restartMix{share: 1}

// drawRestartMix draws a mix of basic parts, and parts of a wider mix beside them.
func drawRestartMix(mix Mix, rng *rand.Rand) restartMix {
	m := drawBasicRestartMix(rng)
	if mix >= MixWide {
		m.overtake = rng.IntN(4) == 0
	}
	if mix >= MixOpen {
		m.heldUp, m.otherKind, m.lapse = rng.IntN(2) == 0, rng.IntN(4) == 0, rng.IntN(4) == 0
	}
	return m
}

// drawBasicRestartMix draws idleRestarts or each part of a mix on its own.
func drawBasicRestartMix(rng *rand.Rand) restartMix {
	if rng.IntN(4) == 0 {
		return idleRestarts
	}
	pick := func(options ...time.Duration) time.Duration { return options[rng.IntN(len(options))] }
	return restartMix{
		share:    []float64{1, 1, 0.6}[rng.IntN(3)],
		down:     pick(0, 0, maxWorkerDown),
		twice:    rng.IntN(4) == 0,
		bornLess: rng.IntN(4) == 0,
		entry:    entryChange(rng.IntN(int(entryChanges))),
		leader:   []leaderKill{leadersStay, leadersStay, leadersKilledBefore, leadersKilledAfter}[rng.IntN(4)],
		link:     []LinkFault{LinkHealthy, LinkHealthy, LinkRepliesStalled, LinkRequestsStalled}[rng.IntN(4)],
		busyWork: pick(0, minShortWork+drawUpTo(rng, maxShortWork-minShortWork), minLongWork+drawUpTo(rng, maxLongWork-minLongWork)),
	}
}

// drawUpTo draws a duration below a limit. It is 0 for a limit of 0.
func drawUpTo(rng *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit)))
}

// RunIdleRestarts starts a cluster of the given size with the scheduler binary program.
// In each round all workers, which are idle, crash and start again at once under the same
// IDs, and jobs are submitted within the next moments.
func RunIdleRestarts(rounds int, seed uint64, size Size, program, folder string) (Result, error) {
	return runRestarts(rounds, seed, size, program, folder, func(*rand.Rand) restartMix { return idleRestarts })
}

// RunRestartMixes is RunIdleRestarts with a drawn mix in each round.
func RunRestartMixes(rounds int, seed uint64, mix Mix, size Size, program, folder string) (Result, error) {
	return runRestarts(rounds, seed, size, program, folder, func(rng *rand.Rand) restartMix { return drawRestartMix(mix, rng) })
}

func runRestarts(rounds int, seed uint64, size Size, program, folder string, draw func(*rand.Rand) restartMix) (Result, error) {
	cluster, err := NewCluster(size, program, folder)
	if err != nil {
		return Result{}, err
	}
	defer cluster.Close()
	time.Sleep(startupWait)
	callers := &callerPool{cluster: cluster, seed: seed, counts: make(map[string]int)}
	rng := rand.New(rand.NewPCG(seed, seed))
	result := Result{Counts: callers.counts}
	for round := range rounds {
		r := restartRound{restartMix: draw(rng), cluster: cluster, callers: callers, rng: rng, seed: seed + uint64(round)}
		result.Faults = append(result.Faults, fmt.Sprintf("%s round %d: %s", time.Now().Format("15:04:05.000"), round, r.restartMix))
		r.run()
		if result.Unsettled = callers.awaitSettled(); len(result.Unsettled) > 0 {
			break
		}
	}
	result.Violations = cluster.violations()
	return result, nil
}

// restartRound plays one mix.
type restartRound struct {
	restartMix
	cluster *Cluster
	callers *callerPool
	rng     *rand.Rand
	seed    uint64 // of the job IDs

	group sync.WaitGroup // what ends later than the restarts
}

// run returns when all workers, hosts and links are healthy again.
func (r *restartRound) run() {
	r.setWorkerFaults()
	if r.busyWork > 0 {
		length := 2 * idleTime
		r.group.Go(func() {
			r.callers.submitAtRate(Load{JobsPerSecond: busyJobsPerSecond, TasksPerJob: 2, TaskMilliCores: 200, Work: r.busyWork, Length: length, Label: r.label()}, r.seed+jobSeedStride)
		})
	}
	time.Sleep(idleTime + drawUpTo(r.rng, idleTime))
	if r.leader == leadersKilledBefore {
		r.killLeaders()
	}
	for _, w := range r.cluster.workers {
		if r.rng.Float64() < r.share {
			r.restart(w)
		}
	}
	if r.leader == leadersKilledAfter {
		r.killLeaders()
	}
	r.callers.submitAtRate(Load{JobsPerSecond: burstJobs / burstLength.Seconds(), TasksPerJob: 1, TaskMilliCores: 500, Work: burstTaskWork, Length: burstLength, Label: r.label()}, r.seed)
	r.group.Wait()
	r.cluster.setWorkerFaults(jobplatform.WorkerFaults{})
}

// setWorkerFaults starts the faults of all workers.
func (r *restartRound) setWorkerFaults() {
	var faults jobplatform.WorkerFaults
	if r.overtake {
		faults.MaxAnswerDelay = maxOvertaking
	}
	if r.heldUp {
		faults.LateCommandRate, faults.LateCommandsOutlive = lateCommands, true
	}
	r.cluster.setWorkerFaults(faults)
}

// label returns the label that the tasks of the round need.
func (r *restartRound) label() string {
	if r.otherKind {
		return jobplatform.DefaultKind
	}
	return ""
}

// killLeaders kills the hosts that lead a shard and starts them again later.
func (r *restartRound) killLeaders() {
	for _, h := range r.cluster.leaders() {
		h.kill()
		down := drawUpTo(r.rng, maxLeaderDown)
		r.group.Go(func() {
			time.Sleep(down)
			h.restart()
		})
	}
}

// leaders returns the hosts that the store names as leaders.
func (c *Cluster) leaders() []*host {
	leads := make(map[string]bool)
	for _, row := range c.Store.Rows("control") {
		var leader struct{ Host string }
		if row.Key == "leader" && json.Unmarshal(row.Value, &leader) == nil {
			leads[leader.Host] = true
		}
	}
	var found []*host
	for _, h := range c.hosts {
		if leads[h.name] {
			found = append(found, h)
		}
	}
	return found
}

// restart crashes a worker and starts it again under its ID. It returns at once if the
// worker is down for some time.
func (r *restartRound) restart(w *worker) {
	down, again := drawUpTo(r.rng, r.down), drawUpTo(r.rng, maxTwiceInterval)
	entryDelay, linkFault := drawUpTo(r.rng, maxEntryDelay), drawUpTo(r.rng, maxRestartLinkFault)
	options := jobplatform.BootOptions{Unregistered: r.entry != entryAtOnce}
	if r.bornLess {
		options.BornEarlier = 1 + drawUpTo(r.rng, maxBornEarlier)
	}
	options.Kind = r.drawKind(w)
	w.Crash()
	if r.entry == entryRemoved {
		w.Deregister()
	}
	w.proxy.Reset()
	if down == 0 {
		w.BootWith(options)
	} else {
		w.proxy.Refuse()
	}
	if r.down == 0 && !r.twice && r.entry == entryAtOnce && r.link == LinkHealthy && !r.lapse {
		return
	}
	r.group.Go(func() {
		if down > 0 {
			time.Sleep(down)
			w.BootWith(options)
			w.admit()
		}
		r.disturb(w, options, again, entryDelay, linkFault)
	})
}

// drawKind returns the kind that a worker comes back of. The first worker keeps its kind, so
// that all tasks can run.
func (r *restartRound) drawKind(w *worker) string {
	if r.otherKind && w != r.cluster.workers[0] && r.rng.IntN(2) == 0 {
		return otherKind
	}
	return jobplatform.DefaultKind
}

// disturb plays what happens to a worker after its restart.
func (r *restartRound) disturb(w *worker, options jobplatform.BootOptions, again, entryDelay, linkFault time.Duration) {
	w.proxy.SetFault(r.link)
	if r.twice {
		time.Sleep(again)
		w.Crash()
		w.proxy.Reset()
		w.BootWith(options)
	}
	if r.link != LinkHealthy {
		time.Sleep(linkFault)
		w.proxy.SetFault(LinkHealthy)
	}
	if r.lapse {
		w.proxy.SetFault(LinkStalled)
		time.Sleep(r.cluster.size.MaxLease + linkFault)
		w.proxy.SetFault(LinkHealthy)
	}
	if r.entry != entryAtOnce {
		time.Sleep(entryDelay)
		w.Register()
	}
}

// admit lets the proxy of the worker accept connections again.
func (w *worker) admit() {
	if err := w.proxy.Admit(); err != nil {
		panic(err) // its port is reserved
	}
}
