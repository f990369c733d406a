package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/caller"
	"github.com/tamarackstep/tamarackstep/standin/internal/audit"
	"github.com/tamarackstep/tamarackstep/standin/worker"
)

const (
	startTimeout = 10 * time.Second // for a process to print its address
	readyTimeout = 20 * time.Second // for all entry hosts to know each other
)

// WorkerGroup is a process that runs one or more workers.
type WorkerGroup struct {
	ID         string // of the only worker, or the prefix of the workers' ids
	Count      int    // workers in the process
	Zone, Rack string
	*Process
}

// Options describes a deployment.
type Options struct {
	ProgramFolder string // folder of the built programs
	Folder        string // existing folder for settings, logs and journals
	Workers       []WorkerGroup
	EntryHosts    int
	Partitions    int
	// StoreAddress returns the address at which an entry host, given by its index,
	// reaches the platform, for instance that of a proxy. Nil: the platform's own.
	StoreAddress func(entryHost int, platform string) string
}

// EntryHost is a running entry host.
type EntryHost struct {
	*Process
	ID              string
	CallerAddress   string // IP:port of the callers' listener
	OperatorAddress string // IP:port of the operator listener
	PeerAddress     string // IP:port of the peer listener
}

// Deployment is a set of running processes. Close kills them all.
type Deployment struct {
	options         Options
	Platform        *Process
	PlatformAddress string
	Workers         []*WorkerGroup
	EntryHosts      []*EntryHost

	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// New starts the platform, the workers and the entry hosts. All processes are
// killed on an error and when the context ends.
func New(ctx context.Context, options Options) (*Deployment, error) {
	d := &Deployment{options: options}
	context.AfterFunc(ctx, d.Close)
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	p, err := d.startProcess("platform", "standin", "platform")
	if err != nil {
		return err
	}
	line, err := p.NextLine(startTimeout)
	if err != nil {
		return err
	}
	d.Platform, d.PlatformAddress = p, lastWord(line)
	for _, g := range d.options.Workers {
		if err := d.startWorkers(g); err != nil {
			return err
		}
	}
	if err := d.startEntryHosts(); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// startProcess starts a program of the build folder. Close ends it.
func (d *Deployment) startProcess(name, program string, args ...string) (*Process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, oops.With("process", name).Errorf("the deployment is closed")
	}
	p, err := Start(name, filepath.Join(d.options.ProgramFolder, program), d.options.Folder, args...)
	if err == nil {
		d.processes = append(d.processes, p)
	}
	return p, err
}

func lastWord(line string) string {
	words := strings.Fields(line)
	return words[len(words)-1]
}

func (d *Deployment) startWorkers(g WorkerGroup) error {
	p, err := d.startProcess(g.ID, "standin", "worker", "--platform", d.PlatformAddress, "--id", g.ID,
		"--count", fmt.Sprint(g.Count), "--region", region, "--zone", g.Zone, "--rack", g.Rack, "--journal", d.options.Folder)
	if err != nil {
		return err
	}
	g.Process = p
	d.Workers = append(d.Workers, &g)
	for range g.Count {
		if _, err := p.NextLine(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// WorkerIDs returns the ids of the workers in the process.
func (g *WorkerGroup) WorkerIDs() []structs.WorkerID {
	if g.Count == 1 {
		return []structs.WorkerID{structs.WorkerID(g.ID)}
	}
	var ids []structs.WorkerID
	for i := range g.Count {
		ids = append(ids, structs.WorkerID(fmt.Sprintf("%s-%d", g.ID, i)))
	}
	return ids
}

// WorkerGroup returns the process that runs a worker, or nil.
func (d *Deployment) WorkerGroup(id structs.WorkerID) *WorkerGroup {
	for _, g := range d.Workers {
		for _, w := range g.WorkerIDs() {
			if w == id {
				return g
			}
		}
	}
	return nil
}

// EntryHost returns the entry host with the id, or nil.
func (d *Deployment) EntryHost(id structs.HostID) *EntryHost {
	for _, h := range d.EntryHosts {
		if h.ID == string(id) {
			return h
		}
	}
	return nil
}

// awaitReady waits until each entry host reports all others as live peers.
func (d *Deployment) awaitReady(ctx context.Context) error {
	return Await(ctx, "all entry hosts answer and know each other", readyTimeout, func() error {
		for _, h := range d.EntryHosts {
			if !h.Alive() {
				return oops.Errorf("entry host %s has ended; see its log", h.ID)
			}
			status, err := h.Status()
			if err != nil {
				return err
			}
			live := 0
			for _, p := range status.Peers {
				if p.Live && string(p.Host) != h.ID {
					live++
				}
			}
			if live < len(d.EntryHosts)-1 {
				return oops.Errorf("entry host %s reports %d of %d peers as live", h.ID, live, len(d.EntryHosts)-1)
			}
		}
		return nil
	})
}

// StartCaller starts a caller that sends load to all entry hosts until StopCaller.
// The flags are passed to the program in addition.
func (d *Deployment) StartCaller(name, service string, flags ...string) (*Process, error) {
	args := []string{"caller", "--service", service, "--name", name, "--duration", "0s"}
	for _, h := range d.EntryHosts {
		args = append(args, "--entry", h.CallerAddress+","+h.OperatorAddress)
	}
	return d.startProcess(name, "standin", append(args, flags...)...)
}

// StopCaller stops a caller and returns its report.
func StopCaller(p *Process, timeout time.Duration) (caller.Report, error) {
	var report caller.Report
	if err := p.Terminate(); err != nil {
		return report, err
	}
	line, err := p.NextLine(timeout)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal([]byte(line), &report); err != nil {
		return report, oops.Wrapf(err, "decode report")
	}
	return report, nil
}

// Journal returns the entries of all workers' journals.
func (d *Deployment) Journal() ([]wire.JournalEntry, error) {
	var journal []wire.JournalEntry
	for _, g := range d.Workers {
		for _, id := range g.WorkerIDs() {
			entries, err := worker.ReadJournal(filepath.Join(d.options.Folder, string(id)+".journal"))
			if err != nil {
				return nil, err
			}
			journal = append(journal, entries...)
		}
	}
	return journal, nil
}

// ProcessFaults returns the faults injected into the process of each worker.
func (d *Deployment) ProcessFaults() map[structs.WorkerID]audit.ProcessFaults {
	faults := make(map[structs.WorkerID]audit.ProcessFaults)
	for _, g := range d.Workers {
		for _, id := range g.WorkerIDs() {
			faults[id] = audit.ProcessFaults{KilledAt: g.KilledAt(), Frozen: g.Frozen()}
		}
	}
	return faults
}

// Close kills all processes, each by its process ID, and waits for their end.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, p := range d.processes {
		if p.Alive() {
			p.Kill()
		}
	}
}

// The ports of entry hosts are below the range of ephemeral ports. Otherwise an
// outgoing connection could take one before the entry host listens on it.
const (
	firstPort = 20000
	lastPort  = 29999
)

var nextPort atomic.Int32

// freeAddress returns a loopback address whose port is not in use. Each process
// begins its search at another port, so that concurrent deployments rarely collide.
func freeAddress() (string, error) {
	const ports = lastPort - firstPort + 1
	begin := os.Getpid() * 31
	for range ports {
		port := firstPort + (begin+int(nextPort.Add(1)))%ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return l.Addr().String(), nil
	}
	return "", oops.Errorf("no free port from %d to %d", firstPort, lastPort)
}
