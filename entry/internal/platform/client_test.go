package platform

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/internal/runner"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

const testTimeout = 20 * time.Second

// newClient returns a client of the platform at address, and the channel on which
// its events arrive.
func newClient(t *testing.T, address string) (*Client, chan control.EventBody) {
	events := make(chan control.EventBody, 8)
	pool := runner.NewPool(runner.NewOutbox(func(b control.EventBody) { events <- b }), 4, 4)
	tr := transport.New(transport.Limits{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4, IdleTimeout: time.Minute, DialTimeout: time.Second})
	t.Cleanup(tr.CloseIdle)
	return NewClient(tr, address, pool, func(string, string, control.Outcome, time.Duration, error) {}), events
}

func serve(t *testing.T, h http.HandlerFunc) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

var commit = control.Commit{
	ID: 7, Timeout: testTimeout, Conditions: []structs.Condition{{Key: "hosts/a", Version: 3}},
	Writes: []structs.Write{{Key: "hosts/a", Row: structs.EntryHostRow{Host: "a"}}, {Key: "hosts/b"}},
}

// Guards against a timeout that is reported as a refusal, a refusal that is
// reported as unknown, a conflict whose rows are lost, and a refusal for good that is
// repeated or one for now that is not.
func TestCommitOutcomes(t *testing.T) {
	const conflict = `{"conflicts":[{"key":"hosts/a","version":4,"value":{"host":"z"}},{"key":"hosts/c","version":0,"value":null}]}`
	rows := []control.Conflict{{Key: "hosts/a", Version: 4, Row: structs.EntryHostRow{Host: "z"}}, {Key: "hosts/c"}}
	const done, not, unknown = control.OutcomeDone, control.OutcomeNotDone, control.OutcomeUnknown
	for name, c := range map[string]struct {
		status int
		body   string
		want   control.Committed
	}{
		"done":     {200, `{"revision":9}`, control.Committed{Effect: 7, Outcome: done, Revision: 9}},
		"conflict": {409, conflict, control.Committed{Effect: 7, Outcome: not, Conflicts: rows}},
		"unreadable conflict": {409, `{"conflicts":[{"key":"new/a","version":1,"value":{}}]}`, control.Committed{
			Effect: 7, Outcome: not, Conflicts: []control.Conflict{{Key: "new/a", Version: 1, Row: structs.UnreadableRow{}}},
		}},
		"undecoded conflict": {409, `{"conflicts":[{"key":1}]}`, control.Committed{Effect: 7, Outcome: unknown}},
		"invalid JSON":       {200, `{"revi`, control.Committed{Effect: 7, Outcome: unknown}},
		"bad request":        {400, ``, control.Committed{Effect: 7, Outcome: not, Rejected: true}},
		"too large":          {413, ``, control.Committed{Effect: 7, Outcome: not, Rejected: true}},
		"forbidden":          {403, ``, control.Committed{Effect: 7, Outcome: not}},
		"too many requests":  {429, ``, control.Committed{Effect: 7, Outcome: not}},
		"timeout upstream":   {408, ``, control.Committed{Effect: 7, Outcome: unknown}},
		"unavailable":        {503, ``, control.Committed{Effect: 7, Outcome: unknown}},
		"closed connection":  {0, ``, control.Committed{Effect: 7, Outcome: unknown}},
	} {
		t.Run(name, func(t *testing.T) {
			seen := make(chan string, 1)
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				seen <- string(body)
				if c.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			client, events := newClient(t, address)
			client.Commit(commit)
			if got := <-events; !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			const sent = `{"conditions":[{"key":"hosts/a","version":3}],"writes":[{"key":"hosts/a","value":{"host":"a","instance":"","address":"","availability_zone":""}},{"key":"hosts/b","delete":true}]}`
			if got := <-seen; got != sent {
				t.Errorf("the platform received %s, want %s", got, sent)
			}
		})
	}
}

// Guards against the outcome "unknown" when the connection is refused, which
// would make every claim during an outage unknown.
func TestCommitToClosedPort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	client, events := newClient(t, l.Addr().String())
	client.Commit(commit)
	if got := (<-events).(control.Committed); got.Outcome != control.OutcomeNotDone {
		t.Errorf("got %+v", got)
	}
}

// Guards against rows that lose their type or order, and against reads that skip
// a row that cannot be decoded.
func TestReadRows(t *testing.T) {
	rows := []structs.KeyedRow{
		{Key: "claims/s/k", Version: 1, Row: structs.ClaimRow{Service: "s", Body: []byte{0, 1}}},
		{Key: "config/head", Version: 2, Row: structs.ConfigHead{Generation: 4}},
		{Key: "generations/000000000004", Version: 2, Row: structs.ConfigHead{Generation: 4}},
		{Key: "hosts/a", Version: 3, Row: structs.EntryHostRow{Host: "a"}},
		{Key: "inbox/0001/t", Version: 4, Row: structs.TaskRow{Task: "t", MovedTo: 1}},
		{Key: "partitions/0001", Version: 5, Row: structs.PartitionRow{Owner: "a", Epoch: 6}},
		{Key: "tasks/0001/t", Version: 6, Row: structs.TaskRow{Task: "t", Run: 2}},
		{Key: "workers/0001/w", Version: 7, Row: structs.WorkerRow{Worker: "w", Commitments: []structs.Commitment{{Task: "t"}}}},
	}
	var page wire.RowsResponse
	for _, r := range rows {
		written, err := encodeWrites([]structs.Write{{Key: r.Key, Row: r.Row}})
		if err != nil {
			t.Fatal(err)
		}
		page.Rows = append(page.Rows, wire.Row{Key: string(r.Key), Version: uint64(r.Version), Value: written[0].Value})
	}
	if got := decodeRows(page.Rows); !reflect.DeepEqual(got, rows) {
		t.Errorf("got %+v", got)
	}
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "after=hosts%2Fa&limit=5&prefix=hosts%2F" {
			t.Errorf("query %s", r.URL.RawQuery)
		}
		_, _ = io.WriteString(w, `{"rows":[{"key":"hosts/b","version":1,"value":{"host":5}},{"key":"hosts/c","version":2,"value":{"host":"c"}}]}`)
	})
	client, events := newClient(t, address)
	client.ReadRows(control.ReadRows{ID: 1, Prefix: "hosts/", After: "hosts/a", Limit: 5, Timeout: testTimeout})
	want := []structs.KeyedRow{
		{Key: "hosts/b", Version: 1, Row: structs.UnreadableRow{}}, {Key: "hosts/c", Version: 2, Row: structs.EntryHostRow{Host: "c"}},
	}
	if e := (<-events).(control.RowsRead); e.Outcome != control.OutcomeDone || !reflect.DeepEqual(e.Rows, want) {
		t.Errorf("a row that cannot be decoded: got %+v", e)
	}
}

// Guards against configurations that change when they are written to the object
// store and read back.
func TestObjects(t *testing.T) {
	objects := map[string][]byte{}
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch _, there := objects[r.URL.Path]; {
		case r.Method == http.MethodPut:
			objects[r.URL.Path], _ = io.ReadAll(r.Body)
			return
		case !there:
			w.WriteHeader(http.StatusNotFound)
			return
		case r.Method == http.MethodDelete:
			delete(objects, r.URL.Path)
			return
		}
		_, _ = w.Write(objects[r.URL.Path])
	})
	client, events := newClient(t, address)
	c := structs.Configuration{Generation: 3, Author: "o", Rows: []structs.SheetRow{{Name: "a", Kind: structs.KindBatch}}}
	client.WriteObject(control.WriteObject{ID: 1, Name: "sheets/3-i", Configuration: c, Timeout: testTimeout})
	if got := <-events; got != (control.ObjectWritten{Effect: 1, Outcome: control.OutcomeDone}) {
		t.Errorf("got %+v", got)
	}
	client.ReadObject(control.ReadObject{ID: 2, Name: "sheets/3-i", Timeout: testTimeout})
	if got := (<-events).(control.ObjectRead); got.Outcome != control.OutcomeDone || !reflect.DeepEqual(got.Configuration, c) {
		t.Errorf("got %+v", got)
	}
	for id := control.EffectID(3); id <= 4; id++ { // deleted, then not there any more
		client.DeleteObject(control.DeleteObject{ID: id, Name: "sheets/3-i", Timeout: testTimeout})
		if got := <-events; got != (control.ObjectDeleted{Effect: id, Outcome: control.OutcomeDone}) || len(objects) != 0 {
			t.Errorf("got %+v, %d objects left", got, len(objects))
		}
	}
}
