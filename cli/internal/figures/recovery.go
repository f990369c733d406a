package figures

import (
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

// recovery follows losses until they are overcome.
type recovery struct {
	times     map[RecoveryKind][]time.Duration
	decisions map[string]time.Time // last line by which a host decided as a leader
	leaders   map[string]string    // host that leads each shard
	given     map[string]time.Time // when the leader of a shard gave up the lead
	takeovers map[takeoverKey]*takeover
	failing   map[string]bool      // hosts whose calls to the store failed
	storeBack map[string]time.Time // hosts that reached the store again and have not served yet
	workers   map[string]loss      // workers that are lost
	tasks     map[string]loss      // tasks whose run was lost
}

type takeoverKey struct{ host, shard string }

// takeover is a change of the leader after which nothing was started yet.
type takeover struct {
	lostAt time.Time
	kind   RecoveryKind // of the time to the first start
}

type loss struct {
	at   time.Time
	kind RecoveryKind
}

func newRecovery() recovery {
	return recovery{
		times: make(map[RecoveryKind][]time.Duration), decisions: make(map[string]time.Time), leaders: make(map[string]string),
		given: make(map[string]time.Time), takeovers: make(map[takeoverKey]*takeover), failing: make(map[string]bool),
		storeBack: make(map[string]time.Time), workers: make(map[string]loss), tasks: make(map[string]loss),
	}
}

func (r *recovery) record(kind RecoveryKind, from, to time.Time) {
	r.times[kind] = append(r.times[kind], max(0, to.Sub(from)))
}

// decided notes that a host decided something as a leader.
func (r *recovery) decided(e logline.Event) { r.decisions[e.Writer] = e.At }

func (r *recovery) gaveUp(e logline.Event) {
	if r.leaders[e.Where] == e.Writer {
		r.given[e.Where] = e.At
	}
}

func (r *recovery) tookLead(e logline.Event) {
	former, known := r.leaders[e.Where]
	r.leaders[e.Where] = e.Writer
	t := &takeover{lostAt: r.decisions[former], kind: LeaderLostToStart}
	if at, ok := r.given[e.Where]; ok {
		t.lostAt, t.kind = at, LeaderGaveUpToStart
		delete(r.given, e.Where)
	}
	if known && !t.lostAt.IsZero() {
		r.takeovers[takeoverKey{e.Writer, e.Where}] = t
	}
}

func (r *recovery) stateRead(e logline.Event) {
	if t := r.takeovers[takeoverKey{e.Writer, e.Where}]; t != nil && t.kind == LeaderLostToStart {
		r.record(LeaderLostToState, t.lostAt, e.At)
	}
}

// started notes an order to start a task of a shard.
func (r *recovery) started(e logline.Event, shard string) {
	key := takeoverKey{e.Writer, shard}
	if shard == "" {
		key = r.onlyTakeover(e.Writer)
	}
	if t := r.takeovers[key]; t != nil {
		r.record(t.kind, t.lostAt, e.At)
		delete(r.takeovers, key)
	}
	if l, ok := r.tasks[e.Subject]; ok {
		r.record(l.kind, l.at, e.At)
		delete(r.tasks, e.Subject)
	}
}

// onlyTakeover returns the takeover of a host that took over one shard only, for
// starts of jobs whose shard is not known.
func (r *recovery) onlyTakeover(host string) takeoverKey {
	var only takeoverKey
	for key := range r.takeovers {
		if key.host == host && only.host != "" {
			return takeoverKey{}
		}
		if key.host == host {
			only = key
		}
	}
	return only
}

func (r *recovery) addStore(e logline.Event) {
	switch {
	case e.Action == "store call failed":
		r.failing[e.Writer] = true
		delete(r.storeBack, e.Writer)
	case e.Action == "store reached" && r.failing[e.Writer]:
		delete(r.failing, e.Writer)
		r.storeBack[e.Writer] = e.At
	}
}

// served notes that a host accepted or started a job.
func (r *recovery) served(e logline.Event) {
	if back, ok := r.storeBack[e.Writer]; ok {
		r.record(StoreBackToService, back, e.At)
		delete(r.storeBack, e.Writer)
	}
}

func (r *recovery) workerLost(e logline.Event, kind RecoveryKind) {
	if _, known := r.workers[e.Subject]; !known {
		r.workers[e.Subject] = loss{e.At, kind}
	}
}

func (r *recovery) workerBack(e logline.Event) { delete(r.workers, e.Subject) }

// runLost notes a run that ended with its worker. Runs that were lost for another
// reason do not count.
func (r *recovery) runLost(e logline.Event) {
	if l, ok := r.workers[e.Where]; ok {
		r.tasks[e.Subject] = l
	}
}

// list returns the kinds of which there were cases.
func (r *recovery) list() []Recovery {
	var list []Recovery
	for _, kind := range recoveryKinds {
		if times := r.times[kind]; len(times) > 0 {
			list = append(list, Recovery{kind, newDistribution(times)})
		}
	}
	return list
}
