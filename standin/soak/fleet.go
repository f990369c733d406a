package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

const (
	serviceName = "workers"
	queueHost   = "jobs.example"
	queuePrefix = "/jobs/"
	workerCores = 8000 // thousandths
	slowestRate = 0.98 // of a worker's clock
	graceTime   = 6 * time.Second
	logLines    = 400 // of each host that a failure prints
)

// Size is how many processes and workers a run has.
type Size struct{ Hosts, Workers int }

// host is one process of the scheduler with its own link to the store.
type host struct {
	name    string
	folder  string
	program string
	ip      string
	link    *Proxy
	front   string
	config  string

	mu      sync.Mutex
	process *deployment.Process
	frozen  bool
}

// worker is a worker behind a link that all hosts share.
type worker struct {
	*jobplatform.Worker
	link   *Proxy
	server *http.Server
}

// Fleet is a deployment of the soak.
type Fleet struct {
	Store   *jobplatform.Store
	Referee *jobplatform.Referee
	folder  string
	store   *http.Server
	hosts   []*host
	workers []*worker
	version int
	retired int
}

// NewFleet starts a store, workers and hosts. Program is the scheduler's binary;
// logs go to the folder.
func NewFleet(size Size, program, folder string) (*Fleet, error) {
	f := &Fleet{Store: jobplatform.NewStore(), Referee: jobplatform.NewReferee(), folder: folder}
	server, address, err := serve(f.Store)
	if err != nil {
		return nil, err
	}
	f.store = server
	f.Configure()
	for i := range size.Workers {
		if err := f.addWorker(i); err != nil {
			return nil, err
		}
	}
	for i := range size.Hosts {
		if err := f.addHost(i, program, address); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func serve(handler http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", oops.Wrapf(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: discardLog()}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

// Configure writes the next version of the operator's configuration.
func (f *Fleet) Configure() {
	f.version++
	f.Store.Put("op", "config", fmt.Appendf(nil, `{"Version":%d,"Routes":[
		{"Name":"jobs","Host":%q,"PathPrefix":%q,"Service":%q,"Attempts":3,"Stretch":2,"TargetLatencyMs":1000},
		{"Name":"spare%d","Host":%q,"PathPrefix":"/spare%d/","Service":%q,"Attempts":3,"Stretch":2,"TargetLatencyMs":1000}],
		"Services":[],"Limits":{"MaxBodyBytes":262144}}`,
		f.version, queueHost, queuePrefix, serviceName, f.version, queueHost, f.version, serviceName))
}

func (f *Fleet) addWorker(number int) error {
	w := &worker{}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.ServeHTTP(rw, r) })
	server, address, err := serve(handler)
	if err != nil {
		return err
	}
	w.server = server
	if w.link, err = NewProxy(address); err != nil {
		return oops.Wrapf(err, "proxy of a worker")
	}
	rate := slowestRate + 0.01*float64(number%5)
	w.Worker = jobplatform.NewWorker(fmt.Sprintf("w%02d", number), w.link.Address(), serviceName, workerCores, rate, f.Store, f.Referee)
	w.Boot()
	f.workers = append(f.workers, w)
	return nil
}

// replace retires a worker for good and adds a new one under another ID.
func (f *Fleet) replace(w *worker) error {
	w.Crash()
	w.Unlist()
	w.link.Close()
	_ = w.server.Close()
	for i := range f.workers {
		if f.workers[i] == w {
			f.workers = append(f.workers[:i], f.workers[i+1:]...)
			break
		}
	}
	f.retired++
	return f.addWorker(100 + f.retired)
}

func (f *Fleet) addHost(number int, program, store string) error {
	h := &host{name: fmt.Sprintf("host%d", number), folder: f.folder, program: program, ip: fmt.Sprintf("127.0.1.%d", number+1)}
	var err error
	if h.link, err = NewProxy(store); err != nil {
		return oops.Wrapf(err, "proxy of a host")
	}
	ports, err := freePorts(h.ip, 2)
	if err != nil {
		return err
	}
	h.front = net.JoinHostPort(h.ip, ports[0])
	h.config = filepath.Join(f.folder, h.name+".toml")
	text := fmt.Sprintf(`NodeName = %q
Zone = "a"
Contracts = []
[ListenAddrs]
Front = %q
Ready = %q
[Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = 284
[Bounds]
GraceS = %d
MaxHoldMs = %d
StopTimeoutMs = 400
status_s = 120
[platform]
Address = %q
`, h.name, h.front, net.JoinHostPort(h.ip, ports[1]), int(graceTime.Seconds()), jobplatform.MaxLease.Milliseconds(), h.link.Address())
	if err := os.WriteFile(h.config, []byte(text), 0o644); err != nil {
		return oops.Wrapf(err, "write settings")
	}
	f.hosts = append(f.hosts, h)
	return h.start()
}

func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, oops.Wrapf(err, "find a free port")
		}
		defer func() { _ = l.Close() }() // all are held until each is known
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, oops.Wrapf(err, "find a free port")
		}
		ports = append(ports, port)
	}
	return ports, nil
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, err := deployment.StartLogged(h.name, h.program, h.folder, []string{"TAMARACKSTEP_BOOT=" + h.config}, "platform")
	h.process, h.frozen = p, false
	return err
}

// kill ends the process at once, frozen or not.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.Kill()
	h.frozen = false
}

// stop asks the process to stop, and kills it after the grace time.
func (h *host) stop() {
	if err := h.process.Terminate(); err == nil {
		_ = h.process.Wait(graceTime) // it is killed where it has not ended
	}
	h.kill()
}

func (h *host) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.frozen && h.process.Alive() {
		h.frozen = h.process.Freeze() == nil
	}
}

func (h *host) thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen && h.process.Alive() {
		_ = h.process.Thaw() // it may have ended meanwhile
	}
	h.frozen = false
}

// Close ends all that the fleet started.
func (f *Fleet) Close() {
	for _, h := range f.hosts {
		h.thaw()
		h.kill()
		h.link.Close()
	}
	for _, w := range f.workers {
		w.Crash()
		w.link.Close()
		_ = w.server.Close()
	}
	_ = f.store.Close()
}
