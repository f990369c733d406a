package host

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// fakePlatform is an in-memory table service, object store and host list.
type fakePlatform struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]wire.Row
	objects  map[string][]byte
	hosts    []wire.Host
}

func newFakePlatform(t *testing.T, hosts ...wire.Host) string {
	p := &fakePlatform{rows: map[string]wire.Row{}, objects: map[string][]byte{}, hosts: hosts}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCommit, p.commit)
	mux.HandleFunc("GET "+wire.PathRows, p.list)
	mux.HandleFunc("GET "+wire.PathHosts, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, 200, wire.HostsResponse{Hosts: p.hosts})
	})
	mux.HandleFunc(wire.PathObjects, p.object)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (p *fakePlatform) commit(w http.ResponseWriter, r *http.Request) {
	var c wire.CommitRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var refused wire.CommitConflict
	for _, x := range c.Conditions {
		if row := p.rows[x.Key]; row.Version != x.Version {
			row.Key = x.Key
			refused.Conflicts = append(refused.Conflicts, row)
		}
	}
	if len(refused.Conflicts) > 0 {
		respond(w, 409, refused)
		return
	}
	p.revision++
	for _, x := range c.Writes {
		p.rows[x.Key] = wire.Row{Key: x.Key, Version: p.revision, Value: x.Value}
		if x.Delete {
			delete(p.rows, x.Key)
		}
	}
	respond(w, 200, wire.CommitResponse{Revision: p.revision})
}

func (p *fakePlatform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	p.mu.Lock()
	defer p.mu.Unlock()
	var page wire.RowsResponse
	for k, row := range p.rows {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	if page.More = len(page.Rows) > limit; page.More {
		page.Rows = page.Rows[:limit]
	}
	respond(w, 200, page)
}

func (p *fakePlatform) object(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, wire.PathObjects)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodPut {
		p.objects[name], _ = io.ReadAll(r.Body)
		return
	}
	body, ok := p.objects[name]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

// fakeWorker reports every started task as running and passes calls to a handler.
type fakeWorker struct {
	start time.Time
	mu    sync.Mutex
	runs  map[wire.RunRef]structs.RunState
}

func newFakeWorker(t *testing.T, service http.HandlerFunc) string {
	x := &fakeWorker{start: time.Now(), runs: map[wire.RunRef]structs.RunState{}}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathSync, x.sync)
	mux.HandleFunc(wire.PathStart, x.set(structs.RunRunning))
	mux.HandleFunc(wire.PathStop, x.set(structs.RunStopped))
	mux.HandleFunc(wire.PathService, service)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func (x *fakeWorker) sync(w http.ResponseWriter, r *http.Request) {
	var request wire.SyncRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	x.mu.Lock()
	defer x.mu.Unlock()
	a := wire.SyncResponse{Incarnation: "b1", ClockUS: time.Since(x.start).Microseconds()}
	for _, ref := range request.Runs {
		state, ok := x.runs[ref]
		if !ok {
			state = structs.RunGone
		}
		a.Runs = append(a.Runs, structs.RunStatus{Task: structs.TaskID(ref.Task), Run: structs.Run(ref.Run), State: state})
	}
	respond(w, 200, a)
}

func (x *fakeWorker) set(state structs.RunState) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var ref struct {
			wire.Owner
			wire.RunRef
		}
		_ = json.NewDecoder(r.Body).Decode(&ref)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.runs[ref.RunRef] = state
		respond(w, 200, struct{}{})
	}
}
