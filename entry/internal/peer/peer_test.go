package peer

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/tamarackstep/tamarackstep/api/tamarackstepv1"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

const (
	address     = "10.1.0.2:7071"
	sendTimeout = 20 * time.Second
)

var resources = structs.Resources{MilliCores: 64000, MemoryMB: 250000, Accelerators: 1}

// messages has one message of each type, with every field set.
var messages = []control.Message{
	control.Heartbeat{
		Host: "a", Instance: "i", Address: address, Region: "r", Zone: "z", Generation: 7, StoreReachable: true,
		Draining: true,
		Owned:    []control.OwnedPartition{{Partition: 3, Epoch: 4, EndpointVersion: 5, Free: resources, Pending: 6}},
	},
	control.Endpoints{Partition: 1, Epoch: 2, Version: 3, Targets: []structs.Target{{
		Service: "s", Task: "s.0", Run: 1, Worker: "w", Zone: "z", Address: address, Slots: 8, Leaving: true,
	}}},
	control.EndpointsRequest{Partition: 2, Address: address},
	control.ConfigPush{Configuration: structs.Configuration{
		Generation: 9, Author: "o", Stopped: []string{"x"},
		Rows: []structs.SheetRow{{
			Name: "x", Kind: structs.KindService, Team: "t", Command: "c", Importance: structs.ImportanceUrgent, Count: 2,
			Request: resources, DeadlineUnixMS: 1, RunTimeMS: 2, LatencyTargetMS: 3, Idempotent: true,
		}},
	}},
	control.ConfigDelta{
		Base: 8, Generation: 9, Author: "o", Removed: []string{"y", "z"}, Stopped: []string{"x"},
		Set: []structs.SheetRow{{Name: "x", Kind: structs.KindBatch, Count: 1, Request: resources}},
	},
	control.ConfigRequest{Address: address},
	control.Transferred{Partition: 5},
	control.Released{Partition: 5, Epoch: 6, Host: "a", Instance: "i"},
}

// Guards against a field that Encode or Decode drops.
func TestConversionsKeepEveryField(t *testing.T) {
	for _, m := range messages {
		e, err := Encode("a", m)
		if err != nil {
			t.Fatal(err)
		}
		from, got, err := Decode(e)
		if err != nil || from != "a" || !reflect.DeepEqual(got, m) {
			t.Errorf("%T: got %+v, %v", m, got, err)
		}
	}
}

// Guards against accepting malformed messages, whose numbers or addresses the
// reducer could not handle.
func TestDecodeRefuses(t *testing.T) {
	for name, e := range map[string]*pb.Envelope{
		"no sender":  {Message: &pb.Envelope_Transferred{Transferred: &pb.Transferred{}}},
		"no message": {FromHost: "a"},
		"partition":  {FromHost: "a", Message: &pb.Envelope_Transferred{Transferred: &pb.Transferred{Partition: 1 << 20}}},
		"name":       {FromHost: "a", Message: &pb.Envelope_ConfigRequest{ConfigRequest: &pb.ConfigRequest{Address: "host:1"}}},
		"unsorted": {FromHost: "a", Message: &pb.Envelope_ConfigPush{ConfigPush: &pb.ConfigPush{Configuration: &pb.Configuration{
			Rows: []*pb.SheetRow{{Name: "b", Kind: "batch"}, {Name: "a", Kind: "batch"}}}}}},
		"count": {FromHost: "a", Message: &pb.Envelope_ConfigPush{ConfigPush: &pb.ConfigPush{Configuration: &pb.Configuration{
			Rows: []*pb.SheetRow{{Name: "b", Kind: "batch", Count: -1}}}}}},
	} {
		if _, m, err := Decode(e); err == nil {
			t.Errorf("%s: accepted as %+v", name, m)
		}
	}
}

// Guards against accepting messages without the shared token, losing messages, and
// reporting the wrong outcome for refused or unsent ones.
func TestDeliver(t *testing.T) {
	events := make(chan control.EventBody, 8)
	mux := http.NewServeMux()
	mux.Handle(NewHandler("shared-token-of-16", func(b control.EventBody) { events <- b }))
	srv := httptest.NewServer(mux)
	defer srv.Close()
	sent := make(chan control.EventBody, 8)
	pool := runner.NewPool(runner.NewOutbox(func(b control.EventBody) { sent <- b }), 4, 4)
	tr := transport.New(transport.Limits{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4, IdleTimeout: time.Minute, DialTimeout: time.Second})
	defer tr.CloseIdle()
	observe := func(string, string, control.Outcome, time.Duration, error) {}
	send := func(token string) control.Outcome {
		f := control.SendPeer{ID: 1, Address: srv.Listener.Addr().String(), Message: messages[0], Timeout: sendTimeout}
		NewClient(tr, "a", token, pool, observe).Send(f)
		return (<-sent).(control.PeerSent).Outcome
	}
	if o := send("shared-token-of-16"); o != control.OutcomeDone {
		t.Errorf("with the token: outcome %v", o)
	}
	if e := (<-events).(control.PeerMessage); !reflect.DeepEqual(e.Message, messages[0]) || e.From != "a" {
		t.Errorf("got %+v", e)
	}
	if o := send(""); o != control.OutcomeNotDone || len(events) != 0 {
		t.Errorf("without the token: outcome %v, %d events", o, len(events))
	}
	srv.Close()
	tr.CloseIdle() // on a reused connection, bytes are sent before the failure shows: OutcomeUnknown
	if o := send("shared-token-of-16"); o != control.OutcomeNotDone {
		t.Errorf("to a closed port: outcome %v", o)
	}
}

// Guards against messages that crash Decode, and against decoded messages that
// change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		e, _ := Encode("a", m)
		data, err := proto.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var e pb.Envelope
		if proto.Unmarshal(data, &e) != nil {
			return
		}
		from, m, err := Decode(&e)
		if err != nil {
			return
		}
		again, err := Encode(from, m)
		if err != nil {
			t.Fatal(err)
		}
		if _, got, err := Decode(again); err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, %v, want %+v", got, err, m)
		}
	})
}
