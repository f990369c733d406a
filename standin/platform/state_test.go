package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
)

// send applies an event and returns its answer.
func send(t *testing.T, s *State, at time.Duration, e Event) Answer {
	t.Helper()
	effects := s.Step(at, 0, e)
	if len(effects) != 1 {
		t.Fatalf("%T gave %d answers, want 1", e, len(effects))
	}
	return effects[0]
}

// write returns a commit that sets the row, if it is at the version, and another
// row without a condition.
func write(key, value string, version uint64) CommitRequested {
	return CommitRequested{Request: wire.CommitRequest{
		Conditions: []wire.Condition{{Key: key, Version: version}},
		Writes:     []wire.Write{{Key: key, Value: json.RawMessage(value)}, {Key: "other", Value: json.RawMessage(value)}},
	}}
}

// Guards against a transaction that takes effect in part or despite a failed
// condition, and against a version that is used twice.
func TestCommitIsAtomicAndConditional(t *testing.T) {
	s := New(1)
	if a := send(t, s, 0, write("k", "1", 0)); a.Status != http.StatusOK {
		t.Fatalf("first write: status %d", a.Status)
	}
	a := send(t, s, 0, write("k", "2", 0))
	conflict, _ := a.Body.(wire.CommitConflict)
	if a.Status != http.StatusConflict || len(conflict.Conflicts) != 1 || conflict.Conflicts[0].Version != 1 {
		t.Fatalf("write over an existing row: %+v, want a conflict with version 1", a)
	}
	if row := s.table.get("other"); string(row.Value) != "1" {
		t.Errorf("a refused transaction changed a row: %+v", row)
	}
	deletion := CommitRequested{Request: wire.CommitRequest{Writes: []wire.Write{{Key: "k", Delete: true}}}}
	send(t, s, 0, deletion)
	send(t, s, 0, write("k", "3", 0))
	if row := s.table.get("k"); row.Version != 3 {
		t.Errorf("version after deletion is %d, want 3", row.Version)
	}
}

// Guards against pages that repeat or skip a row.
func TestRowsArePaged(t *testing.T) {
	s := New(1)
	for _, k := range []string{"a/2", "b/1", "a/1", "a/3"} {
		send(t, s, 0, CommitRequested{Request: wire.CommitRequest{Writes: []wire.Write{{Key: k}}}})
	}
	first := send(t, s, 0, RowsRequested{Prefix: "a/", Limit: 2}).Body.(wire.RowsResponse)
	second := send(t, s, 0, RowsRequested{Prefix: "a/", After: first.Rows[1].Key, Limit: 2}).Body.(wire.RowsResponse)
	if !first.More || second.More || len(second.Rows) != 1 || second.Rows[0].Key != "a/3" {
		t.Errorf("pages %+v and %+v; want two rows and more, then only a/3", first, second)
	}
}

// Guards against a stand-in that takes more than the platform does, so that no test meets
// a limit, and against one that refuses what the platform takes.
func TestLimitsOfTheStore(t *testing.T) {
	value := func(n int) json.RawMessage { return json.RawMessage(`"` + strings.Repeat("v", n-2) + `"`) }
	rows := func(n, size int) wire.CommitRequest {
		var r wire.CommitRequest
		for i := range n {
			key := fmt.Sprintf("k%03d", i)
			r.Conditions = append(r.Conditions, wire.Condition{Key: key})
			r.Writes = append(r.Writes, wire.Write{Key: key, Value: value(size)})
		}
		return r
	}
	key := func(n int) wire.CommitRequest {
		return wire.CommitRequest{Writes: []wire.Write{{Key: strings.Repeat("k", n), Value: value(2)}}}
	}
	for name, c := range map[string]struct {
		request wire.CommitRequest
		status  int
	}{
		"100 entries":         {rows(50, 10), http.StatusOK},
		"102 entries":         {rows(51, 10), http.StatusBadRequest},
		"row of 65536 bytes":  {rows(1, 65536), http.StatusOK},
		"row of 65537 bytes":  {rows(1, 65537), http.StatusBadRequest},
		"key of 200 bytes":    {key(200), http.StatusOK},
		"key of 201 bytes":    {key(201), http.StatusBadRequest},
		"less than a million": {rows(15, 65536), http.StatusOK},
		"more than a million": {rows(16, 65536), http.StatusBadRequest},
	} {
		s := New(1)
		if a := send(t, s, 0, CommitRequested{Request: c.request}); a.Status != c.status {
			t.Errorf("%s: status %d, want %d", name, a.Status, c.status)
		}
		stats := send(t, s, 0, StatsRequested{}).Body.(wire.StoreStats)
		if rejected := c.status != http.StatusOK; rejected != (len(stats.Rejected) == 1) || rejected != (s.table.revision == 0) {
			t.Errorf("%s: rejected %v, revision %d", name, stats.Rejected, s.table.revision)
		}
	}
	s := New(1)
	for i := range 30 {
		send(t, s, 0, CommitRequested{Request: wire.CommitRequest{Writes: []wire.Write{{Key: fmt.Sprintf("large/%02d", i), Value: value(60_000)}}}})
	}
	for i := range 600 {
		send(t, s, 0, CommitRequested{Request: wire.CommitRequest{Writes: []wire.Write{{Key: fmt.Sprintf("small/%03d", i), Value: value(2)}}}})
	}
	for prefix, want := range map[string]int{"large/": 16, "small/": 500} {
		if page := send(t, s, 0, RowsRequested{Prefix: prefix}).Body.(wire.RowsResponse); len(page.Rows) != want || !page.More {
			t.Errorf("a page of %s has %d rows, more: %v, want %d and more", prefix, len(page.Rows), page.More, want)
		}
	}
}

// Guards against an object store that never fills up, and one that stays full after its
// objects were deleted.
func TestObjectStoreFillsUp(t *testing.T) {
	s := New(1)
	large := make([]byte, maxStoredBytes/2)
	put := func(name string, body []byte) int {
		return send(t, s, 0, ObjectPutRequested{Name: name, Bytes: body}).Status
	}
	if a, b := put("a", large), put("b", large); a != http.StatusOK || b != http.StatusOK {
		t.Errorf("statuses %d and %d of objects that fit", a, b)
	}
	if c := put("c", []byte{1}); c != http.StatusInsufficientStorage {
		t.Errorf("status %d of an object that does not fit", c)
	}
	send(t, s, 0, ObjectDeleteRequested{Name: "a"})
	if c, a := put("c", []byte{1}), send(t, s, 0, ObjectRequested{Name: "a"}).Status; c != http.StatusOK || a != http.StatusNotFound {
		t.Errorf("after a deletion: status %d of a write, %d of a read of the deleted object", c, a)
	}
}

// Guards against a fault that changes whether a request takes effect: requests
// that are refused or hang must not, requests whose answer is lost must.
func TestFaults(t *testing.T) {
	s := New(1)
	for _, c := range []struct {
		faults wire.Faults
		effect bool
	}{
		{wire.Faults{Down: true}, false}, {wire.Faults{Hang: true}, false}, {wire.Faults{LoseResponsesPerMill: 1000}, true},
	} {
		before := s.table.revision
		send(t, s, 0, FaultsChanged{Faults: c.faults})
		a := send(t, s, 0, CommitRequested{Request: wire.CommitRequest{Writes: []wire.Write{{Key: "k"}}}})
		if tookEffect := s.table.revision > before; tookEffect != c.effect || a.Lose != c.effect || a.Hang != c.faults.Hang {
			t.Errorf("%+v: took effect: %v, answer %+v", c.faults, tookEffect, a)
		}
	}
}

// Guards against a host list that shows a change before the lag has passed.
func TestHostListLags(t *testing.T) {
	s := New(1)
	send(t, s, 0, HostChanged{Host: wire.Host{ID: "w", State: "live"}})
	send(t, s, 5*time.Second, HostChanged{Host: wire.Host{ID: "w", State: "leaving"}})
	send(t, s, 5*time.Second, FaultsChanged{Faults: wire.Faults{ListLagMS: 2000}})
	for at, want := range map[time.Duration]string{6 * time.Second: "live", 8 * time.Second: "leaving"} {
		hosts := send(t, s, at, HostListRequested{}).Body.(wire.HostsResponse).Hosts
		if len(hosts) != 1 || hosts[0].State != want {
			t.Errorf("host list at %v: %+v, want state %s", at, hosts, want)
		}
	}
}

// TestHostsUnchanged guards against a host list that is reported as unchanged
// although an entry has changed since the version that the client knows.
func TestHostsUnchanged(t *testing.T) {
	s, at := New(1), time.Second
	send(t, s, at, HostChanged{Host: wire.Host{ID: "w1", State: "live"}})
	first := send(t, s, at, HostListRequested{}).Body.(wire.HostsResponse)
	if first.Unchanged || len(first.Hosts) != 1 {
		t.Fatalf("first answer %+v, want one host", first)
	}
	if again := send(t, s, at, HostListRequested{Known: first.Version}).Body.(wire.HostsResponse); !again.Unchanged || again.Hosts != nil {
		t.Errorf("second answer %+v, want it unchanged", again)
	}
	send(t, s, at, HostChanged{Host: wire.Host{ID: "w1", State: "leaving"}})
	if last := send(t, s, at, HostListRequested{Known: first.Version}).Body.(wire.HostsResponse); last.Unchanged || last.Hosts[0].State != "leaving" {
		t.Errorf("answer after a change %+v, want the changed entry", last)
	}
}
