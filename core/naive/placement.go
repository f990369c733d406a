package naive

import (
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// A failed task waits before it is tried again, twice as long after each failure.
const (
	retryDelay    = 1 * time.Second // after the first failure
	maxRetryDelay = 60 * time.Second
)

// Task is one task to place, with its declared size.
type Task struct {
	ID         structs.TaskID
	Row        string
	Kind       structs.RowKind
	Importance structs.Importance
	Request    structs.Resources
}

// Action is a command for a worker: start the task, or checkpoint and stop it.
type Action struct {
	Evict  bool // checkpoint and stop, instead of start
	Task   structs.TaskID
	Worker structs.WorkerID
}

// Placer places each task on the first worker of the host list with free capacity
// for its declared size. The most important tasks are placed first, equally
// important ones in the order of arrival; a task that does not fit does not block
// the others. Replicas of a service go to different workers while there are
// enough. A task does not return to a worker on which it failed until it has
// failed on all of them. Urgent tasks and services that do not fit evict the least
// important batch tasks, the most recently started first.
type Placer struct {
	workers []*worker // in host-list order
	tasks   map[structs.TaskID]*taskState
	waiting []*taskState // in the order of placement
	arrived int          // number of tasks submitted
	started int          // number of runs started
}

// worker is a worker of the host list and its load.
type worker struct {
	spec    structs.Worker
	free    structs.Resources
	running []*taskState
}

// taskState is a task that has not succeeded yet.
type taskState struct {
	task        Task
	arrival     int     // position in the order of arrival
	worker      *worker // nil while the task waits
	startOrder  int     // position in the order of starts
	evicting    bool
	failedOn    []*worker
	notBefore   time.Duration // earliest time of the next start
	evictionsOn *worker       // where batch is being evicted for this task
}

// NewPlacer returns a placer without workers.
func NewPlacer() *Placer { return &Placer{tasks: make(map[structs.TaskID]*taskState)} }

// SetWorkers replaces the host list.
func (p *Placer) SetWorkers(list []structs.Worker) {
	known := make(map[structs.WorkerID]*worker)
	for _, w := range p.workers {
		known[w.spec.ID] = w
	}
	p.workers = p.workers[:0]
	for _, spec := range list {
		w := known[spec.ID]
		if w == nil {
			w = &worker{free: spec.Capacity}
		}
		w.spec = spec
		p.workers = append(p.workers, w)
	}
}

// Submit adds a task to the waiting ones.
func (p *Placer) Submit(task Task) {
	p.arrived++
	t := &taskState{task: task, arrival: p.arrived}
	p.tasks[task.ID] = t
	p.enqueue(t)
}

// TaskEnded records how a run of a task ended. A task that did not succeed waits
// again.
func (p *Placer) TaskEnded(now time.Duration, id structs.TaskID, state structs.RunState) {
	t := p.tasks[id]
	w := t.worker
	w.free = w.free.Add(t.task.Request)
	for i, other := range w.running {
		if other == t {
			w.running = append(w.running[:i], w.running[i+1:]...)
			break
		}
	}
	t.worker, t.evicting = nil, false
	if state == structs.RunSucceeded {
		delete(p.tasks, id)
		return
	}
	if state == structs.RunFailed {
		t.failedOn = append(t.failedOn, w)
		t.notBefore = now + min(retryDelay<<min(len(t.failedOn)-1, 10), maxRetryDelay)
		if len(t.failedOn) >= len(p.workers) {
			t.failedOn = nil
		}
	}
	p.enqueue(t)
}

// enqueue inserts a task into the waiting ones in the order of placement.
func (p *Placer) enqueue(t *taskState) {
	i := sort.Search(len(p.waiting), func(i int) bool { return t.before(p.waiting[i]) })
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[i+1:], p.waiting[i:])
	p.waiting[i] = t
}

// before reports whether t is placed before other.
func (t *taskState) before(other *taskState) bool {
	if t.task.Importance != other.task.Importance {
		return t.task.Importance > other.task.Importance
	}
	return t.arrival < other.arrival
}

// Step returns the actions to take now.
func (p *Placer) Step(now time.Duration) []Action {
	actions := p.evictFromLeaving()
	kept := p.waiting[:0]
	noCapacity := make(map[string]bool) // rows of which a task did not fit: their tasks have the same size
	for _, t := range p.waiting {
		if t.notBefore > now || noCapacity[t.task.Row] && len(t.failedOn) == 0 {
			kept = append(kept, t)
			continue
		}
		if w := p.firstFit(t); w != nil {
			actions = append(actions, p.start(t, w))
			continue
		}
		kept = append(kept, t)
		if victims := p.evictForTask(t); len(victims) > 0 {
			actions = append(actions, victims...)
		} else if t.evictionsOn == nil {
			noCapacity[t.task.Row] = true
		}
	}
	p.waiting = kept
	return actions
}

// evictFromLeaving evicts all tasks from leaving workers.
func (p *Placer) evictFromLeaving() (actions []Action) {
	for _, w := range p.workers {
		if w.spec.State != structs.HostLeaving {
			continue
		}
		for _, t := range w.running {
			if !t.evicting {
				actions = append(actions, t.evict())
			}
		}
	}
	return actions
}

func (p *Placer) start(t *taskState, w *worker) Action {
	p.started++
	t.worker, t.startOrder, t.evictionsOn = w, p.started, nil
	w.free = w.free.Sub(t.task.Request)
	w.running = append(w.running, t)
	return Action{Task: t.task.ID, Worker: w.spec.ID}
}

// firstFit returns the first worker that can run the task. For a replica it
// prefers the first one without another replica of the service.
func (p *Placer) firstFit(t *taskState) *worker {
	var fallback *worker
	for _, w := range p.workers {
		if w.spec.State == structs.HostLeaving || t.failedThere(w) || !t.task.Request.Fits(w.free) {
			continue
		}
		if !t.besideReplica(w) {
			return w
		}
		if fallback == nil {
			fallback = w
		}
	}
	return fallback
}

func (t *taskState) failedThere(w *worker) bool {
	for _, f := range t.failedOn {
		if f == w {
			return true
		}
	}
	return false
}

// besideReplica reports whether t is a replica and w runs another replica of the
// same service.
func (t *taskState) besideReplica(w *worker) bool {
	for _, other := range w.running {
		if t.task.Kind == structs.KindService && other.task.Row == t.task.Row {
			return true
		}
	}
	return false
}

func (t *taskState) evict() Action {
	t.evicting = true
	return Action{Evict: true, Task: t.task.ID, Worker: t.worker.spec.ID}
}

// evictForTask evicts less important batch tasks from the first worker where that
// frees enough capacity, if the task may cause evictions.
func (p *Placer) evictForTask(t *taskState) (actions []Action) {
	if t.task.Kind != structs.KindService && t.task.Importance != structs.ImportanceUrgent {
		return nil
	}
	if t.evictionsOn != nil && t.evictionsOn.evicting() {
		return nil // the evictions have not ended yet
	}
	t.evictionsOn = nil
	for _, w := range p.workers {
		if w.spec.State == structs.HostLeaving || w.evicting() || t.failedThere(w) {
			continue
		}
		if victims := w.victims(t); victims != nil {
			for _, v := range victims {
				actions = append(actions, v.evict())
			}
			t.evictionsOn = w
			return actions
		}
	}
	return nil
}

// evicting reports whether a task is being evicted from the worker.
func (w *worker) evicting() bool {
	for _, other := range w.running {
		if other.evicting {
			return true
		}
	}
	return false
}

// victims returns the batch tasks to evict for a task, or nil if that cannot free
// enough capacity.
func (w *worker) victims(t *taskState) (chosen []*taskState) {
	var candidates []*taskState
	for _, other := range w.running {
		if other.task.Kind == structs.KindBatch && other.task.Importance < t.task.Importance {
			candidates = append(candidates, other)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if a, b := candidates[i].task.Importance, candidates[j].task.Importance; a != b {
			return a < b
		}
		return candidates[i].startOrder > candidates[j].startOrder
	})
	free := w.free
	for _, other := range candidates {
		if t.task.Request.Fits(free) {
			break
		}
		chosen, free = append(chosen, other), free.Add(other.task.Request)
	}
	if !t.task.Request.Fits(free) {
		return nil
	}
	return chosen
}
