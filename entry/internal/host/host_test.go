package host

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/record"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/entry/internal/logging"
	"github.com/tamarackstep/tamarackstep/entry/internal/settings"
)

// testTimeout is many times as long as the slowest step: taking over a partition
// takes several seconds.
const testTimeout = 90 * time.Second

// shortLeaveDelay keeps tests from waiting for a balancer: they have none.
const shortLeaveDelay = 50 * time.Millisecond

// process is a host that runs within the test process.
type process struct {
	t       *testing.T
	h       *Host
	l       *listeners
	signals chan os.Signal
	ended   chan error
}

func start(t *testing.T, name, platform string, leave time.Duration, seeds []string, observe func(control.Event)) *process {
	s := settings.Default()
	s.Host, s.Region, s.Zone = structs.HostID(name), "r", "z"
	s.CallerListener, s.OperatorListener, s.PeerListener = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.PeerSeeds, s.PlatformAddress, s.Partitions, s.Limits.LeaveDelay = seeds, platform, 2, leave
	queue := logging.NewQueue(1024)
	h := New(s, queue.Logger(io.Discard, s.LogLevel, logging.FormatText), queue, observe)
	l, err := h.listen()
	if err != nil {
		t.Fatal(err)
	}
	h.settings.PeerListener = l.sockets[2].Addr().String()
	p := &process{t: t, h: h, l: l, signals: make(chan os.Signal, 2), ended: make(chan error, 1)}
	go func() { p.ended <- h.runOn(l, p.signals) }()
	t.Cleanup(func() {
		p.signals <- syscall.SIGTERM
		p.signals <- syscall.SIGTERM
		queue.Close(testTimeout)
	})
	return p
}

func (p *process) callers() string   { return "http://" + p.l.sockets[0].Addr().String() }
func (p *process) operators() string { return "http://" + p.l.sockets[1].Addr().String() }

// get returns the status and body of a response, or status 0 and the error.
func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// waitUntil polls for a condition that depends on other goroutines.
func (p *process) waitUntil(what string, cond func() bool) {
	p.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); <-tick.C {
		if cond() {
			return
		}
	}
	p.t.Fatalf("not within %v: %s", testTimeout, what)
}

func (p *process) end() error {
	p.t.Helper()
	select {
	case err := <-p.ended:
		return err
	case <-time.After(testTimeout):
		p.t.Fatalf("the process has not ended within %v", testTimeout)
		return nil
	}
}

func (p *process) apply(rows ...structs.SheetRow) control.ApplyReply {
	body, _ := json.Marshal(wire.ApplyRequest{Author: "o", Rows: rows})
	resp, err := http.Post(p.operators()+wire.PathApply, "application/json", bytes.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	var reply control.ApplyReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		p.t.Fatal(err)
	}
	return reply
}

// Guards against components that work alone but not together: two hosts share
// the partitions, a sheet starts a service, a call reaches the service through
// the host that does not own it, and a planned stop completes the call in progress.
func TestHostsServeCallsAndStopGracefully(t *testing.T) {
	slowStarted, slowRelease := make(chan struct{}, 1), make(chan struct{})
	worker := newFakeWorker(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			slowStarted <- struct{}{}
			<-slowRelease
		}
		_, _ = io.WriteString(w, "answer of "+r.Header.Get(wire.HeaderTask))
	})
	platform := newFakePlatform(t, wire.Host{
		ID: "w1", Region: "r", Zone: "z", Rack: "1", Address: worker, State: "live",
		MilliCores: 8000, MemoryMB: 8000, Slots: 8, Connections: 64,
	})
	var events bytes.Buffer
	recorder := record.NewWriter(&events)
	a := start(t, "a", platform, shortLeaveDelay, nil, recorder.Write)
	b := start(t, "b", platform, shortLeaveDelay, []string{a.l.sockets[2].Addr().String()}, nil)
	hosts := []*process{a, b}
	for _, p := range hosts {
		p.waitUntil("ready", func() bool { code, _ := get(p.operators() + wire.PathReady); return code == 200 })
	}
	row := structs.SheetRow{Name: "portal", Kind: structs.KindService, Count: 1, Request: structs.Resources{MilliCores: 500, MemoryMB: 500}}
	if reply := a.apply(row); !reply.Accepted || reply.Generation != 1 {
		t.Fatalf("apply: %+v", reply)
	}
	for _, p := range hosts {
		p.waitUntil("a call is answered", func() bool {
			code, body := get(p.callers() + "/portal/x")
			return code == 200 && strings.HasPrefix(body, "answer of portal")
		})
	}
	// A call is counted after its response is written, and the gauges come from a
	// cached status.
	a.waitUntil("metrics have calls and the generation", func() bool {
		_, text := get(a.operators() + wire.PathMetrics)
		return strings.Contains(text, `tamarackstep_calls_total{service="portal",outcome="answered"}`) &&
			strings.Contains(text, "tamarackstep_generation 1")
	})
	checkMetricsDoc(t, a)
	slow := make(chan string, 1)
	go func() { _, body := get(a.callers() + "/portal/slow"); slow <- body }()
	<-slowStarted
	a.signals <- syscall.SIGTERM
	a.waitUntil("not ready", func() bool { code, _ := get(a.operators() + wire.PathReady); return code == 503 })
	close(slowRelease)
	if body := <-slow; !strings.HasPrefix(body, "answer of portal") {
		t.Errorf("the call in progress got %q", body)
	}
	if err := a.end(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	if n, err := record.Replay(&events, io.Discard); err != nil || n == 0 || recorder.Err() != nil {
		t.Errorf("replayed %d events: %v, %v", n, err, recorder.Err())
	}
}

var metricName = regexp.MustCompile(`(?m)^tamarackstep_[a-z_]+`)

// checkMetricsDoc checks that docs/metrics.md lists the metrics of a process.
func checkMetricsDoc(t *testing.T, p *process) {
	doc, err := os.ReadFile("../../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text := get(p.operators() + wire.PathMetrics)
	for _, name := range metricName.FindAllString(text, -1) {
		base := strings.TrimSuffix(strings.TrimSuffix(strings.TrimSuffix(name, "_bucket"), "_sum"), "_count")
		if !strings.Contains(string(doc), "`"+base+"`") {
			t.Errorf("docs/metrics.md does not list %s", base)
		}
	}
}

// Guards against a process that keeps waiting for the planned stop after a second
// signal.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	p := start(t, "a", newFakePlatform(t), testTimeout, nil, nil) // the leave delay is far longer than the test
	p.waitUntil("healthy", func() bool { code, _ := get(p.operators() + wire.PathHealth); return code == 200 })
	p.signals <- syscall.SIGTERM
	p.signals <- syscall.SIGTERM
	if err := p.end(); !errors.Is(err, ErrKilled) {
		t.Errorf("got %v", err)
	}
}

// Guards against a planned stop that waits forever for a call, or that reports
// success although a call was cut off.
func TestStopWithUnfinishedWork(t *testing.T) {
	p := start(t, "a", newFakePlatform(t), shortLeaveDelay, nil, nil)
	conn, err := net.Dial("tcp", p.l.sockets[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /portal/ HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	p.waitUntil("a call in progress", func() bool { return p.h.proxy.InProgress() == 1 })
	p.h.stop(control.StopProcess{Unfinished: []string{"q-1"}})
	if err := p.end(); !errors.Is(err, ErrUnfinished) {
		t.Errorf("got %v", err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if text, err := io.ReadAll(conn); len(text) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the caller got %q, %v instead of a closed connection", text, err)
	}
}
