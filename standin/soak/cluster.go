package soak

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

const (
	workerService    = "workers"
	jobsHost         = "jobs.example" // Host header of the callers' requests
	jobsPathPrefix   = "/jobs/"
	workerMilliCores = 8000
	slowestClockRate = 0.98 // of the workers' clocks, relative to real time
	stopGracePeriod  = 6 * time.Second
	failureLogLines  = 400 // printed per host after a failure
	evacuationTime   = 3 * time.Second
	// heldUpTime is how much later than it was sent a start may reach a worker: a fault that holds
	// up links, hosts or commands lasts 6 s, and a command may meet two.
	heldUpTime = 10 * time.Second
	// evacuatedZone has the workers with odd numbers.
	evacuatedZone = "z1"
)

// Size is the number of host processes and workers of a run. A shard is added for each
// ShardWorkers workers; 0: there is one.
type Size struct {
	Hosts, Workers, ShardWorkers int
	MaxLease                     time.Duration // of the workers; 0: jobplatform.DefaultMaxLease
	Overcommits                  bool          // workers start what does not fit
	Evacuates                    bool          // a zone is evacuated during the faults
}

// workersPerRack is the number of workers of a rack.
const workersPerRack = 2

// host is one scheduler process. It reaches the store through its own proxy.
type host struct {
	name          string
	folder        string
	program       string
	ip            string
	storeProxy    *Proxy
	callerAddress string
	settingsPath  string
	shardWorkers  int

	mu      sync.Mutex
	process *deployment.Process
	frozen  bool
}

// worker is a worker behind a proxy that all hosts share.
type worker struct {
	*jobplatform.Worker
	proxy  *Proxy
	server *http.Server
}

// Cluster is a store, workers in this process, and hosts as separate processes.
type Cluster struct {
	Store          *jobplatform.Store
	Checker        *jobplatform.Checker
	folder         string
	size           Size
	storeServer    *http.Server
	hosts          []*host
	workers        []*worker
	configVersion  int
	retiredWorkers int
}

// NewCluster starts a store, workers and hosts. Program is the scheduler's binary;
// logs go to the folder.
func NewCluster(size Size, program, folder string) (*Cluster, error) {
	size.MaxLease = cmp.Or(size.MaxLease, jobplatform.DefaultMaxLease)
	c := &Cluster{Store: jobplatform.NewStore(), Checker: jobplatform.NewChecker(), folder: folder, size: size}
	server, address, err := serve(c.Store)
	if err != nil {
		return nil, err
	}
	c.storeServer = server
	c.PublishConfiguration()
	for i := range size.Workers {
		if err := c.addWorker(i); err != nil {
			return nil, err
		}
	}
	for i := range size.Hosts {
		if err := c.addHost(i, program, address, size.ShardWorkers); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func serve(handler http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", oops.Wrapf(err, "listen on a loopback port")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: discardLog()}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

// PublishConfiguration writes the next version of the operator's configuration.
func (c *Cluster) PublishConfiguration() {
	c.configVersion++
	c.Store.Put("op", "config", fmt.Appendf(nil, `{"Version":%d,"Routes":[
		{"Name":"jobs","Host":%q,"PathPrefix":%q,"Service":%q,"Attempts":3,"Stretch":2,"TargetLatencyMs":1000},
		{"Name":"spare%d","Host":%q,"PathPrefix":"/spare%d/","Service":%q,"Attempts":3,"Stretch":2,"TargetLatencyMs":1000}],
		"Services":[],"Limits":{"MaxBodyBytes":262144}}`,
		c.configVersion, jobsHost, jobsPathPrefix, workerService, c.configVersion, jobsHost, c.configVersion, workerService))
}

// evacuate requests the evacuation of a zone, and returns a function that ends it.
func (c *Cluster) evacuate() func() {
	c.Store.Put("op", "evacuate/"+evacuatedZone, []byte("{}"))
	c.Checker.ZoneEvacuated(evacuatedZone, evacuationTime+heldUpTime)
	return func() {
		c.Checker.ZoneReturned(evacuatedZone)
		c.Store.Remove("op", "evacuate/"+evacuatedZone)
	}
}

func (c *Cluster) addWorker(number int) error {
	w := &worker{}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.ServeHTTP(rw, r) })
	server, address, err := serve(handler)
	if err != nil {
		return err
	}
	w.server = server
	if w.proxy, err = NewProxy(address); err != nil {
		return oops.Wrapf(err, "start the proxy of worker %d", number)
	}
	rate := slowestClockRate + 0.01*float64(number%5)
	w.Worker = jobplatform.NewWorker(fmt.Sprintf("w%02d", number), w.proxy.Address(), workerService, fmt.Sprintf("r%d", number/workersPerRack), workerMilliCores, rate, c.Store, c.Checker)
	w.MaxLease, w.Overcommits, w.Zone = c.size.MaxLease, c.size.Overcommits, fmt.Sprintf("z%d", number%2)
	w.Boot()
	c.workers = append(c.workers, w)
	return nil
}

// replacePermanently removes a worker and adds one under a new ID.
func (c *Cluster) replacePermanently(w *worker) error {
	w.Crash()
	w.Deregister()
	w.proxy.Close()
	_ = w.server.Close()
	for i := range c.workers {
		if c.workers[i] == w {
			c.workers = append(c.workers[:i], c.workers[i+1:]...)
			break
		}
	}
	c.retiredWorkers++
	return c.addWorker(100 + c.retiredWorkers)
}

func (c *Cluster) addHost(number int, program, storeAddress string, shardWorkers int) error {
	h := &host{shardWorkers: shardWorkers, name: fmt.Sprintf("host%d", number), folder: c.folder, program: program, ip: fmt.Sprintf("127.0.1.%d", number+1)}
	var err error
	if h.storeProxy, err = NewProxy(storeAddress); err != nil {
		return oops.Wrapf(err, "start the store proxy of %s", h.name)
	}
	ports, err := freePorts(h.ip, 2)
	if err != nil {
		return err
	}
	h.callerAddress = net.JoinHostPort(h.ip, ports[0])
	h.settingsPath = filepath.Join(c.folder, h.name+".toml")
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
DrainMs = 3000
EvacuateMs = %d
status_s = 120
[platform]
Address = %q
`, h.name, h.callerAddress, net.JoinHostPort(h.ip, ports[1]), int(stopGracePeriod.Seconds()), c.size.MaxLease.Milliseconds(), evacuationTime.Milliseconds(), h.storeProxy.Address())
	if err := os.WriteFile(h.settingsPath, []byte(text), 0o644); err != nil {
		return oops.Wrapf(err, "write settings %s", h.settingsPath)
	}
	c.hosts = append(c.hosts, h)
	return h.start()
}

func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, oops.Wrapf(err, "find a free port")
		}
		defer func() { _ = l.Close() }() // only on return, so that all ports differ
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
	p, err := deployment.StartLogged(h.name, h.program, h.folder, []string{"TAMARACKSTEP_BOOT=" + h.settingsPath}, "platform", "--shard-workers", strconv.Itoa(h.shardWorkers))
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

// stop asks the process to stop, and kills it after the grace period.
func (h *host) stop() {
	if err := h.process.Terminate(); err == nil {
		_ = h.process.Wait(stopGracePeriod) // a process that has not ended is killed below
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
		_ = h.process.Thaw() // the process may have ended meanwhile
	}
	h.frozen = false
}

// Close ends all processes, workers and servers of the cluster.
func (c *Cluster) Close() {
	for _, h := range c.hosts {
		h.thaw()
		h.kill()
		h.storeProxy.Close()
	}
	for _, w := range c.workers {
		w.Crash()
		w.proxy.Close()
		_ = w.server.Close()
	}
	_ = c.storeServer.Close()
}
