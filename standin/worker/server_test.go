package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/stream"
	"github.com/tamarackstep/tamarackstep/standin/platform"
)

// serveWorker runs a worker and a platform and starts one service replica.
func serveWorker(t *testing.T, journal *Journal) (target, platformURL string) {
	p := platform.NewServer(1)
	go p.Run(t.Context())
	ps := httptest.NewServer(p)
	t.Cleanup(ps.Close)
	ts := httptest.NewUnstartedServer(nil)
	s := NewServer(Options{
		Incarnation: incarnation, Host: wire.Host{ID: "w", Address: ts.Listener.Addr().String(), Slots: 2, Connections: 64, MilliCores: 1000, MemoryMB: 1000},
	}, strings.TrimPrefix(ps.URL, "http://"), journal)
	ts.Config.Handler, ts.Config.ConnState = s, s.ConnState
	go s.Run(t.Context())
	ts.Start()
	t.Cleanup(ts.CloseClientConnections)
	start := startRequest(1, 1, time.Minute, time.Minute, structs.KindService)
	start.Spec.Command = "hold_ms=10 chunks=4"
	if status := post(t, ts.URL+wire.PathStart, start); status != http.StatusOK {
		t.Fatalf("start: status %d", status)
	}
	return ts.URL, ps.URL
}

func post(t *testing.T, url string, body any) int {
	t.Helper()
	text, _ := json.Marshal(body)
	answer, err := http.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode
}

// clientWithoutKeepAlive opens a connection per call. On a kept connection,
// net/http repeats a request with an Idempotency-Key when the connection closes.
var clientWithoutKeepAlive = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func callService(ctx context.Context, url, id string) (*http.Response, string, error) {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("b"))
	r.Header.Set(HeaderCallerID, id)
	r.Header.Set(wire.HeaderIdempotencyKey, id)
	answer, err := clientWithoutKeepAlive.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer, string(text), err
}

// Guards against an incomplete answer or one without headers, an execution that
// is missing in the journal, and a worker that is missing in the host list.
func TestServerAnswersACall(t *testing.T) {
	path := filepath.Join(t.TempDir(), "w.journal")
	journal, err := OpenJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	target, platformURL := serveWorker(t, journal)
	answer, text, err := callService(t.Context(), target+"/svc/svc/x", "c1")
	if err != nil || stream.Verify(text, "c1", stream.Digest([]byte("b"))) != nil || answer.Header.Get(wire.HeaderSlotsUsed) != "1" {
		t.Fatalf("answer %q, headers %v, error %v", text, answer.Header, err)
	}
	if answer, _, _ := callService(t.Context(), target+"/svc/other/x", "c2"); answer.Header.Get(wire.HeaderRefused) != "true" {
		t.Errorf("a call without a replica was not refused: %v", answer.Status)
	}
	entries, err := ReadJournal(path)
	if err != nil || len(entries) != 2 || entries[1].Execution == nil || entries[1].Execution.Key != "c1" {
		t.Errorf("journal entries %+v, error %v; want the start of the run and the call with key c1", entries, err)
	}
	var hosts wire.HostsResponse
	list, err := http.Get(platformURL + wire.PathHosts)
	if err != nil || json.NewDecoder(list.Body).Decode(&hosts) != nil || len(hosts.Hosts) != 1 {
		t.Errorf("host list %+v, error %v; want one host", hosts, err)
	}
}

// Guards against a stopped replica that still answers, and against a lost answer
// without a connection error.
func TestServerAbortsAndLosesAnswers(t *testing.T) {
	target, _ := serveWorker(t, nil)
	done := make(chan error, 1)
	go func() {
		_, text, err := callService(context.Background(), target+"/svc/svc/x?hold_ms=20000", "c1")
		if err == nil {
			t.Errorf("complete answer %q from a stopped replica", text)
		}
		done <- err
	}()
	deadline := time.Now().Add(10 * time.Second)
	for begun := false; !begun && time.Now().Before(deadline); {
		begun = strings.Contains(get(t, target+wire.PathExecutions), "c1")
	}
	post(t, target+wire.PathStop, wire.RunRequest{Owner: wire.Owner{Partition: 1, Epoch: 1}, RunRef: wire.RunRef{Task: "t", Run: 1}})
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("the call of a stopped replica was not aborted")
	}
	post(t, target+wire.PathFaults, wire.Faults{LoseResponsesPerMill: 1000})
	if answer, err := http.Post(target+wire.PathSync, "application/json", strings.NewReader("{}")); err == nil {
		t.Errorf("an answer that should be lost arrived: %v", answer.Status)
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	answer, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	return string(text)
}
