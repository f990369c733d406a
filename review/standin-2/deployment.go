package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "huvo11a"
	routeHost   = "nony24.example"
	deployFile  = "deploy/system.toml"
	callTimeout = 3 * time.Second
	readyLimit  = 15 * time.Second
	settleTime  = 3 * time.Second // after all hosts are ready
	pollTime    = time.Second     // between questions about the state of a job
	attempts    = 5               // of a caller that hands in a job
)

// The queues, as on the sheet of a site.
const (
	quickQueue   = "/lohu930/" // priority 0
	batchQueue   = "/pufi791/" // priority 2
	lastingQueue = "/pule252/" // priority 0
	advisedQueue = "/kuri318/" // priority 0; only the advice service knows the workers
)

const configText = `{"Version":7,"Routes":[
{"Name":"r-3hwrr6x","Host":"nony24.example","PathPrefix":"/lohu930/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":250,"Priority":0,"Service":"huvo11a","Attempts":4,"Stretch":1.5},
{"Name":"r-73d3zji","Host":"nony24.example","PathPrefix":"/pufi791/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":2,"Service":"huvo11a","Attempts":4,"Stretch":2.0},
{"Name":"r-9n73hh2","Host":"nony24.example","PathPrefix":"/pule252/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":2500,"Priority":0,"Service":"huvo11a","Attempts":4,"Stretch":2.2},
{"Name":"r-5kq8wze","Host":"nony24.example","PathPrefix":"/kuri318/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":2500,"Priority":0,"Service":"huvo11a","Attempts":4,"Stretch":2.2,
"Advice":{"DecideMs":50,"PeriodMs":5,"ValidMs":3000}}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConnections":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Spare":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

const settingsText = `NodeName = %q
Role = "scheduler"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = "aba-a"
Region = "ng-south"
PortRange = [7720,7735]
Seeds = []
Bootstrap = true
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
ControlMode = "call"
Advice = %q
[ListenAddrs]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
ContactMs = 3000
AckTimeoutMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
MaxHoldMs = 6000
StopTimeoutMs = 200
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
NoticeMs = 4500
LeaseMs = 3000
[platform]
Address = %q
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxMs = 8.0
PartWritesS = 150
RowBytes = 65536
CrossRegion = false
HistoryS = 20
[Cloud]
Duties = []
`

// host is one process of the project.
type host struct {
	name  string
	front string
	ready string
	cmd   *exec.Cmd
}

// deployment is a store and workers in this process, and hosts as processes of their own.
type deployment struct {
	rec        *recorder
	checker    *checker
	store      *store
	advice     string         // address of the advice service
	allowed    func(int) bool // tells by a worker's number whether it may run advised steps
	kinds      map[int]string // of racks by their numbers; "a" where there is none
	hosts      []*host
	folder     string
	keep       bool
	client     *http.Client
	adviceTurn sync.Mutex
}

func newDeployment(rec *recorder, logs string) *deployment {
	d := &deployment{rec: rec, checker: newChecker(rec), store: newStore(), folder: logs, keep: logs != "", client: &http.Client{Timeout: callTimeout}}
	return d
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts the store, the workers and the hosts, and waits until all hosts are ready.
func (d *deployment) start(hosts, workers int, cpu int64) {
	if !d.keep {
		folder, err := os.MkdirTemp("", "review")
		must(err)
		d.folder = folder
	}
	ear, err := listen(loopbackIP())
	must(err)
	go func() { _ = (&http.Server{Handler: d.store}).Serve(ear) }()
	d.store.put("op", "config", json.RawMessage(configText))
	for i := range workers {
		w, err := newWorker(i, d.kindOf(i), cpu, d.store, d.checker)
		must(err)
		d.checker.workers = append(d.checker.workers, w)
	}
	adviceEar, err := listen(loopbackIP())
	must(err)
	d.advice = adviceEar.Addr().String()
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(d.serveAdvice)}).Serve(adviceEar) }()
	program := deployedProgram()
	for i := range hosts {
		d.startHost(i, program, ear.Addr().String())
	}
	go d.checker.watch()
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	time.Sleep(settleTime)
	d.rec.log("case", "%d hosts are ready, %d workers", hosts, workers)
}

// serveAdvice answers which of the workers may run a step, one call after the other.
func (d *deployment) serveAdvice(w http.ResponseWriter, r *http.Request) {
	var question struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&question); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.adviceTurn.Lock()
	time.Sleep(50*time.Millisecond + time.Duration(len(question.Workers))*5*time.Millisecond)
	d.adviceTurn.Unlock()
	rows := [][]string{}
	for i, known := range d.checker.workers {
		if slices.Contains(question.Workers, known.id) && (d.allowed == nil || d.allowed(i)) {
			rows = append(rows, []string{known.id, "t-" + question.Step})
		}
	}
	d.rec.log("advice", "%s on %d workers: %d allowed", question.Step, len(question.Workers), len(rows))
	writeJSON(w, http.StatusOK, map[string]any{"Allowed": rows, "ValidMs": 3000})
}

// kindOf returns the kind of a worker.
func (d *deployment) kindOf(worker int) string {
	if kind := d.kinds[worker/workersPerRack]; kind != "" {
		return kind
	}
	return "a"
}

// deployedProgram returns the command of the deploy file.
func deployedProgram() []string {
	data, err := os.ReadFile(deployFile)
	must(err)
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	panic(deployFile + " has no command")
}

// freeAddress returns an address that nobody listens on.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (d *deployment) startHost(number int, program []string, storeAddress string) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 128+number, byte(pid>>8), byte(pid))
	h := &host{name: fmt.Sprintf("front-aba-a-%d", number+1), front: freeAddress(ip), ready: freeAddress(ip)}
	path := filepath.Join(d.folder, h.name+".toml")
	must(os.WriteFile(path, fmt.Appendf(nil, settingsText, h.name, ip, d.advice, h.front, h.ready, storeAddress), 0o644))
	log, err := os.Create(filepath.Join(d.folder, h.name+".log"))
	must(err)
	h.cmd = exec.Command(program[0], program[1:]...)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.Env = []string{"TAMARACKSTEP_BOOT=" + path}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		h.cmd.Env = append(h.cmd.Env, name+"="+os.Getenv(name))
	}
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(h.cmd.Start())
	_ = log.Close() // the process has its own descriptor
	d.rec.log("host", "%s starts", h.name)
	d.hosts = append(d.hosts, h)
}

func (d *deployment) awaitReady(h *host) {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := d.client.Get("http://" + h.ready + "/tamarackstep/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	panic(h.name + " is not ready")
}

// close ends the processes that the case started.
func (d *deployment) close() {
	for _, h := range d.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	if !d.keep && d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
}

// call sends a request of a caller to some host and returns the status, or 0 if there
// was no answer.
func (d *deployment) call(method, path string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	must(err)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	h := d.hosts[rand.IntN(len(d.hosts))]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(data))
	must(err)
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Tamarackstep-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	answer, err := d.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// submit hands in a job and follows its state. It returns once the job is accepted.
func (d *deployment) submit(queue, name string, spec taskSpec, steps ...step) *job {
	j := &job{name: name, id: fmt.Sprintf("%016x", rand.Uint64()), steps: steps, spec: spec, advised: queue == advisedQueue}
	d.checker.add(j)
	text, err := json.Marshal(spec)
	must(err)
	body := map[string]any{"Spec": string(text), "Steps": steps}
	for range attempts {
		d.rec.log("caller", "POST %s%s (%s): %+v, %s", queue, j.id, name, steps, text)
		status, _ := d.call(http.MethodPost, queue+j.id, body)
		d.rec.log("caller", "POST %s%s is answered with %d", queue, j.id, status)
		if status/100 == 2 {
			d.checker.mu.Lock()
			j.accepted = time.Now()
			d.checker.lastHandIn = j.accepted
			d.checker.mu.Unlock()
			go d.follow(queue, j)
			return j
		}
		time.Sleep(200 * time.Millisecond)
	}
	panic("no host accepts job " + name)
}

// follow asks for the state of a job until it is final.
func (d *deployment) follow(queue string, j *job) {
	for ; ; time.Sleep(pollTime) {
		status, text := d.call(http.MethodGet, queue+j.id, nil)
		var body struct{ State string }
		if status != http.StatusOK || json.Unmarshal(text, &body) != nil {
			d.rec.log("caller", "GET %s%s is answered with %d", queue, j.id, status)
			continue
		}
		d.checker.mu.Lock()
		changed := j.state != body.State
		j.state = body.State
		d.checker.mu.Unlock()
		if changed {
			d.rec.log("caller", "GET %s%s (%s) is answered with %s", queue, j.id, j.name, body.State)
		}
		if body.State == "completed" || body.State == "failed" || body.State == "cancelled" {
			return
		}
	}
}

// shownAs reports whether a caller has been shown a state of a job.
func (d *deployment) shownAs(j *job, state string) bool {
	d.checker.mu.Lock()
	defer d.checker.mu.Unlock()
	return j.state == state
}

// await waits until a caller has been shown a state of a job, and reports whether it was.
func (d *deployment) await(j *job, state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(sampleTime) {
		if d.shownAs(j, state) {
			return true
		}
	}
	return false
}
