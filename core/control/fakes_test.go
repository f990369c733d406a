package control_test

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// fakeStore is an in-memory table service and object store.
type fakeStore struct {
	rows     map[structs.RowKey]structs.KeyedRow
	keys     []structs.RowKey // sorted
	revision structs.Version
	objects  map[string]structs.Configuration
	down     bool
	slow     time.Duration
	lose     int // answers lost per 1000 transactions
	commits  int
	onCommit func(writes []structs.Write)
	rejects  func(structs.Write) bool // rows that the store refuses for good; nil: none
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[structs.RowKey]structs.KeyedRow), objects: make(map[string]structs.Configuration)}
}

func (st *fakeStore) latency(w *world) time.Duration { return w.delay() + st.slow }

// commit applies the transaction when it arrives. The answer may be lost, and a
// slow transaction may take effect after its sender has given up.
func (st *fakeStore) commit(n *node, f control.Commit) {
	w := n.w
	if st.down || !w.reaches(n.address, "store") {
		o := control.OutcomeNotDone
		if w.rng.IntN(2) == 0 {
			o = control.OutcomeUnknown
		}
		n.post(f.Timeout, control.Committed{Effect: f.ID, Outcome: o})
		return
	}
	d := st.latency(w)
	if reason := overLimit(f); reason != "" {
		w.recordViolation("the store refuses %s", reason)
		n.post(d, control.Committed{Effect: f.ID, Outcome: control.OutcomeNotDone, Rejected: true})
		return
	}
	if st.rejects != nil && slices.ContainsFunc(f.Writes, st.rejects) {
		n.post(d, control.Committed{Effect: f.ID, Outcome: control.OutcomeNotDone, Rejected: true})
		return
	}
	lost := w.rng.IntN(1000) < st.lose || d > f.Timeout
	w.after(d, func() {
		answer := st.apply(f)
		if !lost {
			n.post(w.delay(), answer)
		}
	})
	if lost {
		n.post(f.Timeout, control.Committed{Effect: f.ID, Outcome: control.OutcomeUnknown})
	}
}

func (st *fakeStore) apply(f control.Commit) control.Committed {
	st.commits++
	var conflicts []control.Conflict
	for _, c := range f.Conditions {
		if row := st.get(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return control.Committed{Effect: f.ID, Outcome: control.OutcomeNotDone, Conflicts: conflicts}
	}
	st.revision++
	for _, x := range f.Writes {
		st.set(x)
	}
	if st.onCommit != nil {
		st.onCommit(f.Writes)
	}
	return control.Committed{Effect: f.ID, Outcome: control.OutcomeDone, Revision: st.revision}
}

func (st *fakeStore) get(key structs.RowKey) structs.KeyedRow {
	if row, ok := st.rows[key]; ok {
		return row
	}
	return structs.KeyedRow{Key: key}
}

func (st *fakeStore) set(x structs.Write) {
	i := sort.Search(len(st.keys), func(i int) bool { return st.keys[i] >= x.Key })
	present := i < len(st.keys) && st.keys[i] == x.Key
	if x.Row == nil {
		delete(st.rows, x.Key)
		if present {
			st.keys = append(st.keys[:i], st.keys[i+1:]...)
		}
		return
	}
	if !present {
		st.keys = append(st.keys, "")
		copy(st.keys[i+1:], st.keys[i:])
		st.keys[i] = x.Key
	}
	st.rows[x.Key] = structs.KeyedRow{Key: x.Key, Version: st.revision, Row: x.Row}
}

func (st *fakeStore) read(n *node, f control.ReadRows) {
	w := n.w
	d := st.latency(w)
	if st.down || !w.reaches(n.address, "store") || d > f.Timeout {
		n.post(f.Timeout, control.RowsRead{Effect: f.ID, Outcome: control.OutcomeUnknown})
		return
	}
	w.after(d, func() {
		rows, more := st.list(f.Prefix, f.After, f.Limit)
		n.post(w.delay(), control.RowsRead{Effect: f.ID, Outcome: control.OutcomeDone, Rows: rows, More: more})
	})
}

// list returns a page of rows, which is shorter than the limit where the rows are large.
func (st *fakeStore) list(prefix string, after structs.RowKey, limit int) (rows []structs.KeyedRow, more bool) {
	limit = min(limit, structs.MaxPageRows)
	size := 0
	i := sort.Search(len(st.keys), func(i int) bool { return string(st.keys[i]) >= prefix && st.keys[i] > after })
	for ; i < len(st.keys) && strings.HasPrefix(string(st.keys[i]), prefix); i++ {
		row := st.rows[st.keys[i]]
		size += len(row.Key) + encodedBytes(row.Row) + entryFrameBytes
		if len(rows) == limit || len(rows) > 0 && size > structs.MaxPageBytes {
			return rows, true
		}
		rows = append(rows, row)
	}
	return rows, false
}

func (st *fakeStore) writeObject(n *node, f control.WriteObject) {
	o := control.OutcomeUnknown
	if !st.down && n.w.reaches(n.address, "store") {
		st.objects[f.Name] = f.Configuration
		o = control.OutcomeDone
	}
	n.post(st.latency(n.w), control.ObjectWritten{Effect: f.ID, Outcome: o})
}

func (st *fakeStore) deleteObject(n *node, f control.DeleteObject) {
	o := control.OutcomeUnknown
	if !st.down && n.w.reaches(n.address, "store") {
		delete(st.objects, f.Name)
		delete(n.w.checkpoints, f.Name)
		o = control.OutcomeDone
	}
	n.post(st.latency(n.w), control.ObjectDeleted{Effect: f.ID, Outcome: o})
}

func (st *fakeStore) readObject(n *node, f control.ReadObject) {
	c, ok := st.objects[f.Name]
	o := control.OutcomeDone
	if st.down || !ok || !n.w.reaches(n.address, "store") {
		o = control.OutcomeUnknown
	}
	n.post(st.latency(n.w), control.ObjectRead{Effect: f.ID, Outcome: o, Configuration: c})
}

// fakeWorker runs tasks under leases measured on its own, drifting clock.
type fakeWorker struct {
	w             *world
	spec          structs.Worker
	rate          float64 // clock rate relative to world time
	boot          int
	dead          bool
	frozen        bool
	unlisted      bool
	failsAll      bool
	failDetail    string                               // why runs fail
	extraStatuses []structs.RunStatus                  // added to each answer, as from a faulty worker
	omitsStops    bool                                 // reports stopped runs as gone
	noCheckpoints bool                                 // checkpoints never finish
	usage         func(r *fakeRun) structs.UsageSample // nil: none; task and run are filled in by the fake
	backlog       []func()                             // commands that arrived while frozen
	loseAnswers   int                                  // of 1000
	epochs        map[structs.PartitionID]structs.Epoch
	runs          map[structs.TaskID]*fakeRun
	ended         map[structs.TaskID]structs.RunStatus
	inUse         int // slots
	serviceTime   time.Duration
	failCalls     int          // calls per 1000 that are answered 503 after they ran
	model         *modelWorker // simulates load and progress; nil: runs take the declared time
}

type fakeRun struct {
	ref             control.RunRef
	spec            structs.TaskSpec
	partition       structs.PartitionID
	leaseEnds       time.Duration // on the worker's clock
	share           float64
	object          string        // checkpoint being written
	startedAt       time.Duration // world time
	resumedProgress float64       // progress in the checkpoint it resumed from
}

func (w *world) addWorker(id, rack string, capacity structs.Resources) *fakeWorker {
	x := &fakeWorker{
		w: w, rate: 0.99 + 0.02*w.rng.Float64(), epochs: make(map[structs.PartitionID]structs.Epoch),
		runs: make(map[structs.TaskID]*fakeRun), ended: make(map[structs.TaskID]structs.RunStatus),
		serviceTime: 5 * time.Millisecond,
		spec: structs.Worker{
			ID: structs.WorkerID(id), Region: "r", Zone: "z", Rack: rack, Address: id, State: structs.HostLive,
			Capacity: capacity, Slots: 8, Connections: 64,
		},
	}
	w.workers = append(w.workers, x)
	return x
}

// fence returns the highest epoch seen if e is older, and 0 after accepting e.
func (x *fakeWorker) fence(p structs.PartitionID, e structs.Epoch) structs.Epoch {
	if e < x.epochs[p] {
		return x.epochs[p]
	}
	x.epochs[p] = e
	return 0
}

// expireLeases stops the runs whose lease has expired on the worker's clock.
func (x *fakeWorker) expireLeases() {
	if x.frozen || x.dead {
		return
	}
	for _, id := range x.taskIDs() {
		if r := x.runs[id]; x.clock() >= r.leaseEnds {
			x.end(r, structs.RunLeaseExpired, "")
		}
	}
}

func (x *fakeWorker) taskIDs() []structs.TaskID {
	ids := make([]structs.TaskID, 0, len(x.runs))
	for id := range x.runs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// progress returns the completed share of a batch run, 0 to 1.
func (x *fakeWorker) progress(r *fakeRun) float64 {
	if x.model != nil {
		return x.model.progress(r.ref.Task)
	}
	if r.spec.RunTimeMS == 0 {
		return 0
	}
	return min(1, r.resumedProgress+float64((x.w.now-r.startedAt).Milliseconds())/float64(r.spec.RunTimeMS))
}

// end removes a run and stores its final status and checkpoint.
func (x *fakeWorker) end(r *fakeRun, state structs.RunState, detail string) {
	delete(x.runs, r.ref.Task)
	if state == structs.RunCheckpointed {
		x.w.checkpoints[r.object] = x.progress(r)
	}
	if x.model != nil {
		x.model.stopped(r.ref.Task, state)
	}
	x.ended[r.ref.Task] = structs.RunStatus{Task: r.ref.Task, Run: r.ref.Run, State: state, Checkpoint: r.object, Detail: detail}
}

// clock returns the worker's monotonic clock.
func (x *fakeWorker) clock() time.Duration { return time.Duration(float64(x.w.now) * x.rate) }

func (x *fakeWorker) leaving() bool { return x.spec.State == structs.HostLeaving }

func (x *fakeWorker) bootID() string { return fmt.Sprintf("%s/%d", x.spec.ID, x.boot) }

// lease extends the lease of a run and schedules the check of its end.
func (x *fakeWorker) lease(r *fakeRun, until time.Duration) {
	r.leaseEnds = max(r.leaseEnds, until)
	x.w.after(time.Duration(float64(r.leaseEnds-x.clock())/x.rate)+time.Millisecond, x.expireLeases)
}

// thaw resumes a frozen worker. Its watchdog runs before it handles the queued
// commands.
func (x *fakeWorker) thaw() {
	x.frozen = false
	x.expireLeases()
	backlog := x.backlog
	x.backlog = nil
	for _, run := range backlog {
		run()
	}
}

// restart drops all runs, as when the host reboots.
func (x *fakeWorker) restart() {
	x.boot++
	x.dead, x.frozen, x.inUse, x.backlog = false, false, 0, nil
	x.epochs = make(map[structs.PartitionID]structs.Epoch)
	x.runs, x.ended = make(map[structs.TaskID]*fakeRun), make(map[structs.TaskID]structs.RunStatus)
}

func (x *fakeWorker) sync(f control.SyncWorker) control.EventBody {
	if e := x.fence(f.Partition, f.Epoch); e > 0 {
		return control.WorkerSynced{Effect: f.ID, Outcome: control.OutcomeNotDone, Fenced: e}
	}
	x.expireLeases()
	answer := control.WorkerSynced{Effect: f.ID, Outcome: control.OutcomeDone, Boot: x.bootID(), Clock: x.clock(), Leaving: x.spec.State == structs.HostLeaving}
	answer.Runs = append(answer.Runs, x.extraStatuses...)
	asked := make(map[structs.TaskID]bool)
	for _, ref := range f.Runs {
		asked[ref.Task] = true
		if r := x.runs[ref.Task]; r != nil && r.ref == ref {
			if f.Boot == x.bootID() {
				x.lease(r, f.LeaseUntil)
			}
			answer.Runs = append(answer.Runs, structs.RunStatus{Task: ref.Task, Run: ref.Run, State: structs.RunRunning, Progress: x.progress(r)})
			if x.usage != nil {
				u := x.usage(r)
				u.Task, u.Run = ref.Task, ref.Run
				answer.Usage = append(answer.Usage, u)
			}
			continue
		}
		if st, ok := x.ended[ref.Task]; ok && st.Run == ref.Run && !(x.omitsStops && st.State == structs.RunStopped) {
			answer.Runs = append(answer.Runs, st)
			continue
		}
		answer.Runs = append(answer.Runs, structs.RunStatus{Task: ref.Task, Run: ref.Run, State: structs.RunGone})
	}
	for _, id := range x.taskIDs() {
		if r := x.runs[id]; r.partition == f.Partition && !asked[id] {
			answer.Runs = append(answer.Runs, structs.RunStatus{Task: id, Run: r.ref.Run, State: structs.RunRunning})
		}
	}
	return answer
}

// start begins a run. A start of a run that has ended or is older than a known
// one changes nothing: it may be a late duplicate.
func (x *fakeWorker) start(f control.StartTask) control.EventBody {
	if e := x.fence(f.Partition, f.Epoch); e > 0 {
		return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeNotDone, Fenced: e}
	}
	x.expireLeases()
	if f.Boot != x.bootID() || x.clock() > f.NotAfter {
		return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeNotDone, Detail: "too late"}
	}
	if st, ok := x.ended[f.Ref.Task]; ok && st.Run >= f.Ref.Run {
		return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone}
	}
	if r := x.runs[f.Ref.Task]; r != nil && r.ref.Run >= f.Ref.Run {
		return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone}
	}
	r := &fakeRun{ref: f.Ref, spec: f.Spec, partition: f.Partition, share: 1, startedAt: x.w.now, resumedProgress: x.w.checkpoints[f.Spec.ResumeFrom]}
	x.runs[f.Ref.Task] = r
	x.lease(r, f.LeaseUntil)
	x.w.checkStartedRun(x, r)
	if x.failsAll || x.w.failingRows[f.Spec.Row] {
		x.end(r, structs.RunFailed, "exit status 1"+x.failDetail)
	} else if x.model != nil {
		x.model.begin(r.ref.Task, f.Spec.Row)
	} else if f.Spec.Kind == structs.KindBatch && f.Spec.RunTimeMS > 0 {
		x.w.after(time.Duration((1-r.resumedProgress)*float64(f.Spec.RunTimeMS))*time.Millisecond, func() {
			if x.runs[f.Ref.Task] == r && !x.dead && !x.frozen {
				x.end(r, structs.RunSucceeded, "")
			}
		})
	}
	return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone}
}

func (x *fakeWorker) stop(f control.StopTask) control.EventBody {
	if e := x.fence(f.Partition, f.Epoch); e > 0 {
		return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeNotDone, Fenced: e}
	}
	if r := x.runs[f.Ref.Task]; r != nil && r.ref == f.Ref {
		x.end(r, structs.RunStopped, "")
	} else if st, ok := x.ended[f.Ref.Task]; !ok || st.Run < f.Ref.Run {
		// Remember the stop, so that a start that arrives late does nothing.
		x.ended[f.Ref.Task] = structs.RunStatus{Task: f.Ref.Task, Run: f.Ref.Run, State: structs.RunStopped}
	}
	return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone}
}

func (x *fakeWorker) checkpoint(f control.CheckpointTask) control.EventBody {
	if e := x.fence(f.Partition, f.Epoch); e > 0 {
		return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeNotDone, Fenced: e}
	}
	r := x.runs[f.Ref.Task]
	if r == nil || r.ref != f.Ref {
		return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeNotDone, Detail: "no such run"}
	}
	if r.object == "" {
		r.object = f.Object
		x.w.after(200*time.Millisecond, func() {
			if !x.noCheckpoints && x.runs[f.Ref.Task] == r && !x.dead && !x.frozen {
				x.end(r, structs.RunCheckpointed, "")
			}
		})
	}
	return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone}
}

func (x *fakeWorker) throttle(f control.ThrottleTask) control.EventBody {
	if e := x.fence(f.Partition, f.Epoch); e > 0 {
		return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeNotDone, Fenced: e}
	}
	if r := x.runs[f.Ref.Task]; r != nil && r.ref == f.Ref {
		r.share = f.Share
		if x.model != nil {
			x.model.throttle(r.ref.Task, f.Share)
		}
	}
	return control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone}
}
