package record

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// simulator drives one reducer and answers its effects so that it can own
// partitions, accept a sheet and start tasks. It records the events and effects.
type simulator struct {
	state    *control.State
	record   *Writer
	effects  bytes.Buffer
	events   int
	now      time.Duration
	queue    []control.EventBody
	revision structs.Version
	rows     map[structs.RowKey]structs.KeyedRow
	objects  map[string]structs.Configuration
}

func (sim *simulator) apply(body control.EventBody) {
	ev := control.Event{At: sim.now, Wall: sim.now.Milliseconds(), Body: body}
	sim.record.Write(ev)
	sim.events++
	effects := control.Reduce(sim.state, ev)
	if err := WriteEffects(&sim.effects, sim.events, effects); err != nil {
		panic(err)
	}
	for _, e := range effects {
		if answer := sim.answer(e); answer != nil {
			sim.queue = append(sim.queue, answer)
		}
	}
}

// run applies answers and timers for a duration of virtual time.
func (sim *simulator) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		if len(sim.queue) > 0 {
			body := sim.queue[0]
			sim.queue = sim.queue[1:]
			sim.now += 100 * time.Microsecond
			sim.apply(body)
			continue
		}
		at, _ := sim.state.NextDeadline()
		sim.now = max(sim.now, at) + time.Microsecond
		sim.apply(control.TimerFired{})
	}
}

func (sim *simulator) answer(e control.Effect) control.EventBody {
	const done = control.OutcomeDone
	switch f := e.(type) {
	case control.Commit:
		return sim.commit(f)
	case control.ReadRows:
		var rows []structs.KeyedRow
		for _, kr := range sim.rows {
			if kr.Key.HasPrefix(f.Prefix) && len(rows) == 0 { // at most one row, because the map has no order
				rows = append(rows, kr)
			}
		}
		return control.RowsRead{Effect: f.ID, Outcome: done, Rows: rows}
	case control.WriteObject:
		sim.objects[f.Name] = f.Configuration
		return control.ObjectWritten{Effect: f.ID, Outcome: done}
	case control.ReadObject:
		return control.ObjectRead{Effect: f.ID, Outcome: done, Configuration: sim.objects[f.Name]}
	case control.ReadHostList:
		return control.HostListRead{Effect: f.ID, Outcome: done, Workers: []structs.Worker{{
			ID: "w1", Region: "r", Zone: "z", Rack: "1", Address: "10.0.0.1:1", State: structs.HostLive, Slots: 8,
			Capacity: structs.Resources{MilliCores: 32000, MemoryMB: 125000}, Connections: 64,
		}}}
	case control.SyncWorker:
		s := control.WorkerSynced{Effect: f.ID, Outcome: done, Boot: "b", Clock: sim.now}
		for _, ref := range f.Runs {
			s.Runs = append(s.Runs, structs.RunStatus{Task: ref.Task, Run: ref.Run, State: structs.RunRunning, Progress: 0.3})
		}
		return s
	case control.StartTask:
		return control.CommandDone{Effect: f.ID, Outcome: done}
	case control.SendPeer:
		return control.PeerSent{Effect: f.ID, Outcome: control.OutcomeUnknown}
	case control.DispatchCall:
		return control.AnswerFinished{Call: f.Call, Attempt: f.Attempt, Outcome: done, Status: 200, Body: []byte("ok")}
	}
	return nil
}

func (sim *simulator) commit(f control.Commit) control.EventBody {
	for _, c := range f.Conditions {
		if row := sim.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			return control.Committed{Effect: f.ID, Outcome: control.OutcomeNotDone, Conflicts: []control.Conflict{row}}
		}
	}
	sim.revision++
	for _, w := range f.Writes {
		sim.rows[w.Key] = structs.KeyedRow{Key: w.Key, Version: sim.revision, Row: w.Row}
	}
	return control.Committed{Effect: f.ID, Outcome: control.OutcomeDone, Revision: sim.revision}
}

// TestReplayGivesIdenticalEffects guards against recordings that omit a part of
// an event, and against a reducer whose effects depend on anything but its events.
func TestReplayGivesIdenticalEffects(t *testing.T) {
	var file bytes.Buffer
	sim := &simulator{
		state: control.NewState(), record: NewWriter(&file), rows: map[structs.RowKey]structs.KeyedRow{},
		objects: map[string]structs.Configuration{},
	}
	sim.apply(control.Started{
		Host: "a", Instance: "i", Address: "10.0.0.9:1", Region: "r", Zone: "z", Seeds: []string{"10.0.0.8:1"},
		Partitions: 2, Seed: 7,
	})
	sim.run(8 * time.Second)
	sim.apply(control.ApplyRequested{Request: 1, Author: "o", Rows: []structs.SheetRow{
		{Name: "night", Kind: structs.KindBatch, Count: 2, Request: structs.Resources{MilliCores: 500}},
		{Name: "portal", Kind: structs.KindService, Count: 2, Request: structs.Resources{MilliCores: 500}},
	}})
	sim.run(8 * time.Second)
	sim.apply(control.PeerMessage{From: "b", Message: control.Heartbeat{Host: "b", Instance: "j", Address: "10.0.0.8:1"}})
	sim.apply(control.CallArrived{Call: 1, RequestID: "q", Service: "portal", Method: "GET", Replayable: true})
	sim.run(2 * time.Second)
	if err := sim.record.Err(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(sim.effects.String(), `"type":"StartTask"`) || !strings.Contains(file.String(), "ConfigHead") {
		t.Error("the run covers too little: no task was started, or no row was read from the table service")
	}
	var again bytes.Buffer
	n, err := Replay(bytes.NewReader(file.Bytes()), &again)
	if err != nil || n != sim.events {
		t.Fatalf("replayed %d of %d events: %v", n, sim.events, err)
	}
	if !bytes.Equal(again.Bytes(), sim.effects.Bytes()) {
		t.Error("the replay gave other effects than the recorded run")
	}
}

// TestEveryTypeRoundTrips guards against events, rows and messages that the
// recording cannot encode and decode without loss.
func TestEveryTypeRoundTrips(t *testing.T) {
	if len(eventTypes) != 21 || len(rowTypes) != 7 || len(messageTypes) != 8 {
		t.Error("a type was added to the events, rows or messages; add a case here")
	}
	rows := []structs.KeyedRow{
		{Key: "partitions/0000", Version: 1, Row: structs.PartitionRow{Owner: "a", Epoch: 2}},
		{Key: "tasks/0000/x", Version: 2, Row: structs.TaskRow{Task: "x", FailedOn: []structs.WorkerID{"w"}}},
		{Key: "workers/0000/w", Version: 3, Row: structs.WorkerRow{Worker: "w", Commitments: []structs.Commitment{{Task: "x"}}}},
		{Key: "claims/s/k", Version: 4, Row: structs.ClaimRow{Service: "s", Body: []byte{0, 255}}},
		{Key: "config/head", Version: 5, Row: structs.ConfigHead{Generation: 3}},
		{Key: "hosts/a", Version: 6, Row: structs.EntryHostRow{Host: "a"}},
		{Key: "hosts/b"}, {Key: "hosts/c", Version: 7, Row: structs.UnreadableRow{}},
	}
	bodies := []control.EventBody{
		control.TimerFired{}, control.Committed{Effect: 1, Outcome: 2, Conflicts: rows},
		control.RowsRead{Effect: 2, Outcome: 1, Rows: rows, More: true}, control.RowsRead{Rows: []structs.KeyedRow{}},
		control.CommandDone{Effect: 3, Fenced: 4, Detail: "d"}, control.DrainRequested{}, control.ObjectDeleted{Effect: 5, Outcome: 1},
		control.PeerMessage{From: "b", Message: control.Endpoints{Targets: []structs.Target{{Service: "s"}}}},
		control.PeerMessage{From: "b", Message: control.ConfigPush{Configuration: structs.Configuration{Generation: 1}}},
		control.PeerMessage{From: "b", Message: control.ConfigDelta{Base: 1, Generation: 2, Removed: []string{"x"}}},
		control.PeerMessage{From: "b", Message: control.Released{Host: "b"}},
		control.AnswerFinished{Call: 1, Body: []byte("x")}, control.AnswerFinished{Call: 2, Body: []byte{}},
	}
	var file bytes.Buffer
	w := NewWriter(&file)
	for i, b := range bodies {
		w.Write(control.Event{At: time.Duration(i), Wall: int64(i), Body: b})
	}
	if w.Err() != nil {
		t.Fatal(w.Err())
	}
	r := NewReader(&file)
	for i, want := range bodies {
		ev, err := r.Next()
		if err != nil || ev.At != time.Duration(i) || !reflect.DeepEqual(ev.Body, want) {
			t.Errorf("got %+v, %v, want %+v", ev.Body, err, want)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last event: %v", err)
	}
}

// FuzzRead guards against recordings that crash the reader, and against events
// that change when they are encoded again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"at":1,"wall":2,"type":"TimerFired","body":{}}`))
	f.Add([]byte(`{"type":"RowsRead","body":{"Effect":1,"Rows":[{"key":"hosts/a","version":1,"row":{"type":"EntryHostRow","value":{"host":"a"}}}]}}`))
	f.Add([]byte(`{"type":"PeerMessage","body":{"From":"b","Message":{"type":"Transferred","value":{"Partition":1}}}}`))
	f.Add([]byte(`{"type":"Committed","body":{"Conflicts":[{"key":"x","row":{"type":"Nothing"}}]}}`))
	f.Add([]byte(`{"type":"WorkerSynced","body":{"Runs":[{"task":"t","progress":0.1}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ev, err := NewReader(bytes.NewReader(data)).Next()
		if err != nil {
			return
		}
		var file bytes.Buffer
		w := NewWriter(&file)
		w.Write(ev)
		again, err := NewReader(&file).Next()
		if w.Err() != nil || err != nil || !reflect.DeepEqual(again, ev) {
			t.Fatalf("got %+v, %v, %v, want %+v", again, w.Err(), err, ev)
		}
	})
}
