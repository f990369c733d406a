package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// worker is a worker that the leader knows.
type worker struct {
	l      *leaderState
	id     structs.WorkerID
	entry  structs.WorkerEntry
	listed bool // the platform's list has it
	used   bool // the store's list of used workers has it; nothing is started on others

	synced    bool    // its lists have been read under this epoch
	confirmed Instant // when the last answered look was sent
	heldAt    Instant // when the last look was answered
	born      int64   // 0: not known
	clockMS   int64   // its clock at clockAt
	clockAt   Instant
	promised  int64 // highest end of its lease that was sent, on its clock

	looking  bool
	lookAt   Instant // next look; 0: none is set
	lookSeq  uint64
	failures int // looks without an answer in a row

	runs    map[runKey]*run
	taken   structs.Resources // by runs
	busy    int64             // processors, in thousandths, that runs are taken to use
	serving []*run            // those with a target for their tail
	filling []*run            // those that use what others leave

	seen  uint64 // highest end taken in
	acked uint64 // highest end that is durable
	marks []endMark

	leavesAt    Instant // of a draining worker: not before then
	pausedUntil Instant
	streak      int
	streakJobs  []structs.JobID
	quarantines int
	stalls      int

	pace paceState
}

// endMark tells with which commit an end becomes durable.
type endMark struct {
	number, batch uint64
}

// workerRows takes in rows of the platform's list.
func (l *leaderState) workerRows(rows []Row, all bool) {
	if all {
		for _, id := range l.ids {
			l.workers[id].listed = false
		}
	}
	for _, r := range rows {
		id := structs.WorkerID(r.Key)
		v, ok := r.Value.(WorkerRow)
		switch {
		case r.Removed:
			if w := l.workers[id]; w != nil {
				w.listed = false
				l.s.decide(Decision{Part: "worker", Action: "left the list", Subject: r.Key, Number: uint64(r.Version)})
			}
		case !ok:
			if w := l.workers[id]; w != nil {
				w.listed = false
			}
			l.s.decide(Decision{Part: "worker", Action: "entry cannot be read", Subject: r.Key, Number: uint64(r.Version)})
		default:
			l.entry(id, v.WorkerEntry)
		}
	}
	l.schedule.request()
}

func (l *leaderState) entry(id structs.WorkerID, e structs.WorkerEntry) {
	w := l.addWorker(id)
	if e.Draining && !w.entry.Draining {
		l.s.decide(Decision{Part: "worker", Action: "drains", Subject: string(id), Age: e.Leaves})
		w.leavesAt = l.s.now + e.Leaves
	}
	if !w.listed {
		l.s.decide(Decision{Part: "worker", Action: "listed", Subject: string(id), Where: e.Address})
	}
	w.entry, w.listed = e, true
	if w.born != 0 && e.Born != 0 && e.Born > w.born {
		w.reborn(e.Born)
	}
	if l.isLoaded() {
		w.holdSoon()
	}
}

// addWorker returns the worker with the ID and makes it known if it is not.
func (l *leaderState) addWorker(id structs.WorkerID) *worker {
	if w := l.workers[id]; w != nil {
		return w
	}
	w := &worker{l: l, id: id, runs: make(map[runKey]*run)}
	w.pace.level = fullPace
	l.workers[id] = w
	at, _ := slices.BinarySearch(l.ids, id)
	l.ids = slices.Insert(l.ids, at, id)
	return w
}

func (w *worker) add(r *run) {
	w.runs[r.key()] = r
	w.taken = w.taken.Add(occupies(r.step))
	w.busy += uses(r.step)
	r.job.runs++
	r.image = w.l.interference.id(r.step.Image)
	switch {
	case r.step.TailTarget > 0:
		r.own = r.job.load(r.ref)
		w.serving = append(w.serving, r)
	case r.step.Fills:
		w.filling = append(w.filling, r)
	default:
		return
	}
	w.predict()
}

func (w *worker) remove(r *run) {
	if w.runs[r.key()] != r {
		return
	}
	delete(w.runs, r.key())
	w.taken = w.taken.Sub(occupies(r.step))
	w.busy -= uses(r.step)
	r.job.runs--
	r.job.ended = w.l.s.now
	same := func(o *run) bool { return o == r }
	w.serving, w.filling = slices.DeleteFunc(w.serving, same), slices.DeleteFunc(w.filling, same)
	w.predict()
}

// sortedRuns returns the runs in a fixed order.
func (w *worker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		switch {
		case a.ref.Less(b.ref):
			return -1
		case b.ref.Less(a.ref):
			return 1
		}
		return cmp.Compare(a.id, b.id)
	})
}
