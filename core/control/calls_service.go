package control

import (
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// service holds the routing state of one service: its targets, queues, classes
// and retry budget.
type service struct {
	name       string
	row        structs.SheetRow
	generation structs.Generation // of row
	targets    []*target          // by task
	slots      int                // of all targets
	ejected    int                // number of ejected targets
	inFlight   int                // attempts in progress
	queues     callQueues
	classes    callClasses
	budget     retryBudget
	waiting    bool // listed in callState.waiting
}

// target is one replica of a service.
type target struct {
	spec       structs.Target
	service    *service
	load       *workerLoad
	removed    bool // no longer published
	health     targetHealth
	avoidUntil Instant // set when the guard refused although slots were free
	refusals   int     // consecutive refusals of that kind
	slowness   slowness
}

// workerLoad is the estimated slot usage of one worker. All targets on a worker
// share its slots.
type workerLoad struct {
	worker       structs.WorkerID
	slots        int
	ownInFlight  int // attempts of this host in progress
	othersInUse  int // slots used by other hosts when last reported
	reportedAt   Instant
	leavingUntil Instant   // reported in an answer's header
	targets      []*target // published ones, in order of publication

	hostListReadAt Instant // read time of the host list that listedLeaving is from
	listedLeaving  bool
}

// refreshServiceRow takes the service's row from the configuration in force.
func (s *State) refreshServiceRow(svc *service) {
	if svc.generation == s.config.current.Generation && svc.generation != 0 {
		return
	}
	svc.generation = s.config.current.Generation
	if row, ok := s.config.row(svc.name); ok {
		svc.row = row
		return
	}
	svc.row = structs.SheetRow{Name: svc.name, Importance: structs.ImportanceNormal}
}

// routesChanged updates the named services after their targets changed.
func (s *State) routesChanged(names []string) {
	for _, name := range names {
		svc := s.calls.services[name]
		if svc == nil {
			svc = &service{name: name, budget: newRetryBudget()}
			s.calls.services[name] = svc
		}
		s.refreshServiceRow(svc)
		s.replaceTargets(svc, s.routes.byService[name])
		s.serveService(svc)
		s.forgetUnused(svc)
	}
}

// forgetUnusedServices drops what is known of services that the sheet no longer lists.
func (s *State) forgetUnusedServices() {
	for _, svc := range s.calls.services {
		s.forgetUnused(svc) // in any order: each one is judged for itself
	}
}

// forgetUnused drops a service that has no row, no target and no call.
func (s *State) forgetUnused(svc *service) {
	_, listed := s.config.row(svc.name)
	if listed || len(svc.targets) > 0 || svc.inFlight > 0 || svc.queues.len() > 0 || svc.waiting {
		return
	}
	delete(s.calls.services, svc.name)
	delete(s.routes.byService, svc.name)
}

// replaceTargets replaces the targets of a service and keeps the health and
// load of the replicas that are in both lists.
func (s *State) replaceTargets(svc *service, specs []structs.Target) {
	before := svc.targets
	old := make(map[structs.TaskID]*target, len(before))
	for _, t := range before {
		old[t.spec.Task] = t
		t.removed = true
		t.load.remove(t)
	}
	svc.targets, svc.slots, svc.ejected = nil, 0, 0
	for _, spec := range specs {
		t := old[spec.Task]
		if t == nil || t.spec.Run != spec.Run || t.spec.Worker != spec.Worker || t.spec.Address != spec.Address {
			t = &target{service: svc}
		}
		t.spec, t.removed = spec, false
		t.load = s.loadOf(spec)
		t.load.targets = append(t.load.targets, t)
		svc.targets = append(svc.targets, t)
		svc.slots += spec.Slots
		if t.health.ejected() {
			svc.ejected++
		}
	}
	for _, t := range before {
		if t.removed {
			s.forgetLoad(t.load)
		}
	}
}

func (s *State) loadOf(spec structs.Target) *workerLoad {
	l := s.calls.loads[spec.Worker]
	if l == nil {
		l = &workerLoad{worker: spec.Worker}
		s.calls.loads[spec.Worker] = l
	}
	l.slots = max(spec.Slots, 1)
	return l
}

func (s *State) forgetLoad(l *workerLoad) {
	if len(l.targets) == 0 && l.ownInFlight == 0 && s.calls.loads[l.worker] == l {
		delete(s.calls.loads, l.worker)
	}
}

func (l *workerLoad) remove(t *target) {
	for i, x := range l.targets {
		if x == t {
			l.targets = append(l.targets[:i], l.targets[i+1:]...)
			return
		}
	}
}

// beginAttempt counts an attempt in the load of its target's worker.
func (s *State) beginAttempt(c *call, t *target) {
	c.target = t
	t.load.ownInFlight++
	t.service.inFlight++
}

// endAttempt removes the current attempt from the load of its target's worker.
func (s *State) endAttempt(c *call) {
	t := c.target
	c.target = nil
	t.load.ownInFlight--
	t.service.inFlight--
	if c.probe {
		c.probe, t.health.probing = false, false
	}
	s.forgetLoad(t.load)
}

const (
	occupancyDecay   = 500 * time.Millisecond // time over which the weight of a report of other hosts' usage falls to zero
	leavingReportTTL = 1 * time.Minute        // longer than the host list and the owner lag behind the worker's own report
)

// report stores the slot usage from an answer, which includes the answered
// call. A negative value means that none was reported.
func (l *workerLoad) report(used int, now Instant) {
	if used < 0 {
		return
	}
	l.othersInUse, l.reportedAt = max(0, used-l.ownInFlight), now
}

// othersMilli returns the estimated slots used by other hosts, in thousandths.
func (l *workerLoad) othersMilli(now Instant) int {
	left := occupancyDecay - (now - l.reportedAt)
	if left <= 0 || l.othersInUse == 0 {
		return 0
	}
	return int(int64(l.othersInUse) * 1000 * int64(left/time.Microsecond) / int64(occupancyDecay/time.Microsecond))
}

// free returns the estimated number of free slots.
func (l *workerLoad) free(now Instant) int {
	return l.slots - l.ownInFlight - (l.othersMilli(now)+500)/1000
}

// leaving reports whether the target's worker is about to leave, according to
// its endpoints, its answers or the host list.
func (s *State) leaving(t *target) bool {
	if t.spec.Leaving || s.now < t.load.leavingUntil {
		return true
	}
	l := t.load
	if l.hostListReadAt != s.hosts.readAt {
		w, ok := s.hosts.worker(t.spec.Worker)
		l.hostListReadAt, l.listedLeaving = s.hosts.readAt, ok && w.State == structs.HostLeaving
	}
	return l.listedLeaving
}

// addWaitingService adds a service whose queue is no longer empty to the list
// of waiting services.
func (s *State) addWaitingService(svc *service) {
	if svc.waiting {
		return
	}
	svc.waiting = true
	w := s.calls.waiting
	i := sort.Search(len(w), func(i int) bool {
		return w[i].row.Importance < svc.row.Importance || w[i].row.Importance == svc.row.Importance && w[i].name > svc.name
	})
	w = append(w, nil)
	copy(w[i+1:], w[i:])
	w[i] = svc
	s.calls.waiting = w
}
