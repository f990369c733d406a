package control_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// benchDriver completes the effects of one reducer immediately, in virtual time.
type benchDriver struct {
	state   *control.State
	store   *fakeStore
	now     time.Duration
	queue   []control.EventBody
	workers []structs.Worker
	config  structs.Configuration
	events  int
	lapses  int // runs that workers reported as lapsed
	lapsing bool
	starts  int
}

func newBenchDriver(workers, tasks, partitions, waiting int) *benchDriver {
	d := &benchDriver{state: control.NewState(), store: newFakeStore()}
	for i := range workers {
		d.workers = append(d.workers, structs.Worker{
			ID: structs.WorkerID(fmt.Sprintf("w%04d", i)), Region: "r", Zone: fmt.Sprintf("z%d", i/8%3), Rack: fmt.Sprintf("rack%d", i/8),
			Address: fmt.Sprintf("w%04d", i), State: structs.HostLive, Capacity: structs.Resources{MilliCores: 64000, MemoryMB: 250000},
			Slots: 8, Connections: 64,
		})
	}
	const rows = 100
	for i := range rows {
		row := batchRow(fmt.Sprintf("row%03d", i), tasks/rows, 1000, time.Hour)
		if i%5 < 2 {
			row.Kind, row.LatencyTargetMS = structs.KindService, 50
		}
		d.config.Rows = append(d.config.Rows, row)
	}
	for i := range waiting {
		d.config.Rows = append(d.config.Rows, batchRow(fmt.Sprintf("waits%05d", i), 1, 64000, time.Hour))
	}
	d.config.Generation = 1
	d.apply(control.Started{Host: "e", Instance: "e/1", Address: "e", Region: "r", Zone: "z", Partitions: partitions, Seed: 1})
	return d
}

func (d *benchDriver) apply(b control.EventBody) {
	d.events++
	for _, e := range control.Reduce(d.state, control.Event{At: d.now, Wall: d.now.Milliseconds(), Body: b}) {
		d.answer(e)
	}
}

// service reports whether a task belongs to a service row.
func (d *benchDriver) service(id structs.TaskID) bool {
	row, _, _ := strings.Cut(string(id), ".")
	r, _ := sheet.Find(d.config.Rows, row)
	return r.Kind == structs.KindService
}

// step applies the next event: an answer, or the next deadline.
func (d *benchDriver) step() {
	if len(d.queue) > 0 {
		b := d.queue[0]
		d.queue = d.queue[1:]
		d.now += time.Microsecond
		d.apply(b)
		return
	}
	if at, ok := d.state.NextDeadline(); ok {
		d.now = max(d.now, at)
	}
	d.apply(control.TimerFired{})
}

func (d *benchDriver) answer(e control.Effect) {
	switch f := e.(type) {
	case control.Commit:
		d.queue = append(d.queue, d.store.apply(f))
	case control.ReadRows:
		r := control.RowsRead{Effect: f.ID, Outcome: control.OutcomeDone}
		r.Rows, r.More = d.store.list(f.Prefix, f.After, f.Limit)
		if f.Prefix == string(structs.ConfigHeadKey) {
			r.Rows = []structs.KeyedRow{{Key: structs.ConfigHeadKey, Version: 1, Row: structs.ConfigHead{Generation: 1, Object: "sheet"}}}
		}
		d.queue = append(d.queue, r)
	case control.ReadObject:
		d.queue = append(d.queue, control.ObjectRead{Effect: f.ID, Outcome: control.OutcomeDone, Configuration: d.config})
	case control.ReadHostList:
		d.queue = append(d.queue, control.HostListRead{Effect: f.ID, Outcome: control.OutcomeDone, Workers: d.workers})
	case control.StartTask:
		d.starts++
		d.queue = append(d.queue, control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone})
	case control.StopTask:
		d.queue = append(d.queue, control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone})
	case control.ThrottleTask:
		d.queue = append(d.queue, control.CommandDone{Effect: f.ID, Outcome: control.OutcomeDone})
	case control.SyncWorker:
		a := control.WorkerSynced{Effect: f.ID, Outcome: control.OutcomeDone, Boot: "boot", Clock: d.now}
		lapsed := false
		for _, ref := range f.Runs {
			st := structs.RunStatus{Task: ref.Task, Run: ref.Run, State: structs.RunRunning}
			if d.lapsing && !lapsed && !d.service(ref.Task) {
				lapsed = true
				st.State = structs.RunLeaseExpired
				d.lapses++
			}
			a.Runs = append(a.Runs, st)
		}
		d.queue = append(d.queue, a)
	}
}

// BenchmarkTasks measures the reducer on a full deployment while one batch run on
// each worker lapses at each synchronization, is placed again and started. The
// cost per event must not grow with the number of tasks, nor with the rows that
// wait for free capacity: compare the last three cases.
func BenchmarkTasks(b *testing.B) {
	for _, c := range []struct{ workers, tasks, partitions, waiting int }{
		{48, 700, 6, 0}, {2300, 8000, 64, 0}, {2300, 32000, 64, 0}, {2300, 32000, 64, 6400},
	} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d/waiting=%d", c.workers, c.tasks, c.waiting), func(b *testing.B) {
			d := newBenchDriver(c.workers, c.tasks, c.partitions, c.waiting)
			for n := 0; d.starts < c.tasks; n++ {
				if d.step(); n > 2_000_000 {
					b.Fatalf("%d of %d tasks started", d.starts, c.tasks)
				}
			}
			d.lapsing = true
			events := d.events
			b.ReportAllocs()
			for b.Loop() {
				for want := d.lapses + 1; d.lapses < want; {
					d.step()
				}
			}
			b.ReportMetric(float64(d.events-events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(d.events-events)/float64(b.N), "events/op")
		})
	}
}

// BenchmarkState reports the memory of the reducer's state once all tasks run,
// with all partitions on one host.
func BenchmarkState(b *testing.B) {
	for _, c := range []struct{ workers, tasks, partitions int }{
		{48, 700, 6}, {480, 6700, 24}, {2300, 8000, 64}, {2300, 32000, 64},
	} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", c.workers, c.tasks), func(b *testing.B) {
			for b.Loop() {
				d := newBenchDriver(c.workers, c.tasks, c.partitions, 0)
				for d.starts < c.tasks {
					d.step()
				}
				state := d.state
				d = nil
				runtime.GC()
				var with, without runtime.MemStats
				runtime.ReadMemStats(&with)
				runtime.KeepAlive(state)
				state = nil
				runtime.GC()
				runtime.ReadMemStats(&without)
				b.ReportMetric(float64(with.HeapAlloc-without.HeapAlloc)/1e6, "state-MB")
			}
		})
	}
}

// BenchmarkRouterState reports the memory that the routes and the sheet of a
// whole deployment take on an entry host that owns no partition.
func BenchmarkRouterState(b *testing.B) {
	const partitions = 64
	for _, c := range []struct{ targets, rows int }{{0, 0}, {1300, 0}, {13000, 0}, {0, 11000}, {13000, 11000}} {
		b.Run(fmt.Sprintf("targets=%d/rows=%d", c.targets, c.rows), func(b *testing.B) {
			for b.Loop() {
				var without, with runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&without)
				d := &benchDriver{state: control.NewState(), store: newFakeStore()}
				d.apply(control.Started{Host: "e", Instance: "e/1", Address: "e", Region: "r", Zone: "z", Partitions: partitions, Seed: 1})
				var rows []structs.SheetRow
				for i := range c.rows {
					rows = append(rows, batchRow(fmt.Sprintf("row-%05d", i), 1, 1000, time.Hour))
				}
				d.apply(control.PeerMessage{From: "x", Message: control.ConfigPush{Configuration: structs.Configuration{Generation: 1, Rows: rows}}})
				for p := range partitions {
					m := control.Endpoints{Partition: structs.PartitionID(p), Epoch: 1, Version: 1}
					for i := range c.targets / partitions {
						worker := fmt.Sprintf("worker-%04d", (p*300+i)%2300)
						m.Targets = append(m.Targets, structs.Target{
							Service: fmt.Sprintf("service-%03d", i%100), Task: structs.TaskID(fmt.Sprintf("service-%03d.%d", i%100, p*300+i)), Run: 1,
							Worker: structs.WorkerID(worker), Zone: "z", Address: worker, Slots: 8,
						})
					}
					d.apply(control.PeerMessage{From: "x", Message: m})
				}
				runtime.GC()
				runtime.ReadMemStats(&with)
				b.ReportMetric(float64(with.HeapAlloc-without.HeapAlloc)/1e6, "state-MB")
				runtime.KeepAlive(d)
				rows = nil
			}
		})
	}
}
