// Command drill plays one case of the review: it starts a store, workers and requesters in this
// process and the hosts as processes of their own, and judges the rules by what these see.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var closing atomic.Bool

var pause float64

type drill struct {
	w       *world
	hosts   []*host
	r       *requester
	trouble bool
	guards  bool

	storeListener   *silentListener
	workerListeners []*silentListener
	cannotRun       bool
	seed            uint64
	folder          string
}

type options struct {
	workers  int
	hosts    int
	guards   bool
	advice   bool
	cpu, mem int64
	rack     int  // workers of a rack
	oneKind  bool // all workers are of kind "a"
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/tamarackstep", "the host's program")
	recordPath := flag.String("record", "record.txt", "what was sent, answered and run")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed")
	keep := flag.String("logs", "", "folder that keeps the hosts' logs")
	disturb := flag.String("disturb", "", "for -case mix: disruptions")
	guards := flag.Bool("guards", true, "for -case mix: workers reject what does not fit")
	flag.Float64Var(&pause, "pause", 0.25, "for -case mix: mean time between jobs, in seconds")
	seconds := flag.Int("seconds", 40, "for -case mix: length of the traffic")
	flag.Parse()
	record, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	folder := *keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "drill"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(failed)
		}
		defer os.RemoveAll(folder)
	} else if err := os.MkdirAll(folder, 0o755); err != nil {
		os.Exit(failed)
	}
	absolute, err := filepath.Abs(*program)
	if err != nil {
		os.Exit(failed)
	}
	d := &drill{w: newWorld(*seed, record), trouble: os.Getenv("TROUBLE") != "0", seed: *seed, folder: folder}
	d.w.log("case %s, trouble %v, seed %d", *name, d.trouble, *seed)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		d.endHosts()
		os.Exit(failed)
	}()
	var play func()
	o := options{workers: 12, hosts: 3, guards: true}
	switch *name {
	case "mix":
		o = options{workers: 16, hosts: 3, guards: *guards, advice: true}
		play = func() { d.mix(*disturb, time.Duration(*seconds)*time.Second) }
	case "silent":
		play = d.silent
	case "turns":
		o = options{workers: 272, hosts: 3, guards: true, rack: 8, oneKind: true}
		play = d.turns
	case "gang":
		o = options{workers: 48, hosts: 3, guards: true, cpu: 64000, mem: 256000}
		play = d.gang
	case "count":
		play = d.count
	default:
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failed)
	}
	status := d.run(absolute, o, play)
	if *keep == "" {
		os.RemoveAll(folder)
	}
	os.Exit(status)
}

// run sets a deployment up, plays a case and ends all processes.
func (d *drill) run(program string, o options, play func()) int {
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	w := d.w
	d.guards = o.guards
	var storeAddress string
	d.storeListener, storeAddress = serveSilent(w.store)
	adviceAddress := ""
	if o.advice {
		w.advice = &advice{w: w, queues: map[string]bool{"/advised/": true}, share: 0.6, valid_: 5 * time.Second, given: map[string]adviceTicket{}}
		_, adviceAddress = serveOn(w.advice)
	}
	d.configure(1)
	for i := range o.workers {
		x := &worker{w: w, id: fmt.Sprintf("w%02d", i), service: "obikolka", zone: fmt.Sprintf("z%d", i%3), cpu: max(o.cpu, 16000), mem: max(o.mem, 64000), guards: o.guards, labels: []string{"a", fmt.Sprintf("r%02d", i/max(o.rack, 4))}}
		if i%4 == 3 && !o.oneKind {
			x.labels[0] = "b"
		}
		var l *silentListener
		l, x.address = serveSilent(x)
		d.workerListeners = append(d.workerListeners, l)
		w.workers = append(w.workers, x)
		x.boot()
	}
	stop := make(chan struct{})
	go w.run(stop)
	for i := range o.hosts {
		d.hosts = append(d.hosts, newHost(i, program, d.folder, storeAddress, adviceAddress))
	}
	for _, h := range d.hosts {
		h.start(w)
	}
	d.r = newRequester(w, d.hosts)
	status := held
	func() {
		defer d.endHosts()
		for i := 0; len(d.r.ready()) < o.hosts; i++ {
			if i > 100 {
				w.log("the hosts are not ready")
				status = failed
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		play()
	}()
	close(stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case d.cannotRun:
		status = failed
	case status == held && len(w.breaches) > 0:
		status = broken
	}
	for i, b := range w.breaches {
		if i < 12 {
			fmt.Println(b)
		}
	}
	w.log("result %d: %d breaches, %d starts", status, len(w.breaches), w.starts)
	fmt.Printf("result %d: %d breaches, %d starts\n", status, len(w.breaches), w.starts)
	return status
}

// endHosts ends all processes that the case has started.
func (d *drill) endHosts() {
	closing.Store(true)
	for _, h := range d.hosts {
		h.kill(d.w)
	}
}

// configure writes a version of the configuration.
func (d *drill) configure(version int) {
	route := func(name, prefix string, priority int, advice any) map[string]any {
		m := map[string]any{
			"Name": name, "Host": jobsHost, "PathPrefix": prefix, "Service": "obikolka", "Attempts": d.w.attempts, "Priority": priority,
			"Stretch": 2.0, "TargetLatencyMs": 1000, "TimeoutMs": 3000,
		}
		if advice != nil {
			m["Advice"] = advice
		}
		return m
	}
	routes := []any{route("main", jobsPrefix, 0, nil), route("low", "/low/", 2, nil)}
	if d.w.advice != nil {
		routes = append(routes, route("advised", "/advised/", 1, map[string]any{"DecideMs": 20, "PeriodMs": 1, "ValidMs": 5000}))
	}
	for i := range 20 {
		routes = append(routes, route(fmt.Sprintf("spare%d", i), fmt.Sprintf("/spare%d/", i), 0, nil))
	}
	data, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": []any{map[string]any{"Name": "obikolka", "RejectsOverload": d.guards}}, "Limits": map[string]any{"MaxBodyBytes": 262144},
	})
	d.w.store.put("op", "config", data)
}

func (d *drill) newJob(n int, steps ...*step) *job {
	return &job{id: jobID(d.seed, n), Spec: fmt.Sprintf("spec %d", n), Steps: steps, done: map[string]bool{}, fails: map[string][]uint64{}}
}
