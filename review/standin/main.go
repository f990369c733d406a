// Command standin plays the platform, the workers and the clients around processes of
// the system on loopback addresses, for the cases of the review. It is started by the
// run.sh of a case, in the root of the repository.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// bench is one small deployment.
type bench struct {
	rec     *record
	check   *checker
	store   *store
	hosts   []*host
	workers []*worker
	client  *http.Client
	trouble bool
	sizes   []hostSize // of the hosts, if not all are small; each has a link of its rate to the store
	mu      sync.Mutex
	jobs    []*job
}

// config is the operator's configuration: one queue and one service.
const config = `{"Version":3,"Routes":[{"Name":"herder-settle","Host":"` + jobHost + `","PathPrefix":"` + jobPrefix + `","Service":"` + service + `","Priority":2,"Attempts":3,"Stretch":2,"TargetLatencyMs":1000}],` +
	`"Services":[{"Name":"` + service + `","RejectsOverload":true}],"Limits":{"MaxBodyBytes":262144}}`

// build starts the store, the workers and the hosts, and waits until one leads.
func (b *bench) build(folder string, workers, perRack, hosts int, label func(n int) string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, b.store) }()
	b.store.put("op", "config", []byte(config))
	for n := range workers {
		w := &worker{id: fmt.Sprintf("w%02d", n), service: service, cpu: 64000, mem: 256000, store: b.store, check: b.check, rec: b.rec}
		w.labels = []string{label(n), fmt.Sprintf("smolyan-r%d", n/perRack+1)}
		if err := w.boot(); err != nil {
			return err
		}
		b.workers = append(b.workers, w)
	}
	for n := range hosts {
		size, address := smallHost, l.Addr().String()
		if n < len(b.sizes) {
			size = b.sizes[n]
			if address, err = newLink(address, size.mbps); err != nil {
				return err
			}
		}
		h, err := newHost(n, folder, address, size, b.rec)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		b.hosts = append(b.hosts, h)
	}
	for range 200 {
		time.Sleep(100 * time.Millisecond)
		if b.leader() != nil {
			time.Sleep(5 * time.Second) // traffic starts some seconds after the machines
			return nil
		}
	}
	return fmt.Errorf("no host took the lead within 20 s")
}

// leader returns the host that took the lead last, or nil.
func (b *bench) leader() *host {
	var last *host
	for _, h := range b.hosts {
		if at := h.lastLed(); !at.IsZero() && (last == nil || at.After(last.lastLed())) {
			last = h
		}
	}
	return last
}

func (b *bench) close() {
	for _, h := range b.hosts {
		h.kill(false)
	}
}

// send submits a job in the background.
func (b *bench) send(j *job) {
	b.mu.Lock()
	b.jobs = append(b.jobs, j)
	b.mu.Unlock()
	go b.submit(j)
}

// unfinished returns the accepted jobs that are not shown as completed.
func (b *bench) unfinished() []*job {
	b.mu.Lock()
	jobs := append([]*job(nil), b.jobs...)
	b.mu.Unlock()
	var open []*job
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, 32)
	for _, j := range jobs {
		b.check.mu.Lock()
		skip := j.accepted.IsZero() || j.final != ""
		b.check.mu.Unlock()
		if skip {
			continue
		}
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			state := b.ask(j)
			b.check.mu.Lock()
			if state == "completed" || state == "failed" || state == "cancelled" {
				j.final = state
			}
			b.check.mu.Unlock()
			if state != "completed" {
				mu.Lock()
				open = append(open, j)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return open
}

// mustServe applies the rule LOST finish_s after the end of the traffic: for 3 s, a job
// that is not done has nothing running, there is capacity for it twice over, and under
// half of the service's capacity is in use.
func (b *bench) mustServe(trafficEnd time.Time) {
	const finish = 14 * time.Second
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	open := b.unfinished()
	idle := make(map[*job]bool)
	for _, j := range open {
		idle[j] = true
	}
	b.rec.line("client: finish_s after the end of the traffic, %d accepted jobs are not completed", len(open))
	var total int64
	for _, w := range b.workers {
		total += w.cpu
	}
	for end := time.Now().Add(3200 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		used := b.check.cpuInUse()
		for j := range idle {
			running, done := b.check.runningOf(j)
			tasks, need := 0, int64(0)
			for _, s := range j.steps {
				tasks += s.Count
				need += int64(s.Count) * s.Cpu
			}
			if running > 0 || done == tasks || 2*used >= total || total-used < 2*need {
				delete(idle, j)
			}
		}
	}
	still := b.unfinished()
	for _, j := range still {
		if idle[j] {
			_, done := b.check.runningOf(j)
			b.check.mu.Lock()
			b.check.breaks("LOST "+j.id, "LOST: job %s was accepted, %d of its tasks are done, and for 3 s nothing of it ran, %d s after the end of the traffic", j.id, done, int(finish.Seconds()))
			b.check.mu.Unlock()
		}
	}
}

var cases = map[string]func(b *bench, folder string) error{
	"ends": caseEnds, "progress": caseProgress, "entry": caseEntry, "kind": caseKind, "cancel": caseCancel, "born": caseBorn, "link": caseLink,
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return notRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	b := &bench{
		rec: rec, check: newChecker(rec), store: newStore(rec), trouble: os.Getenv("TROUBLE") != "0",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	defer b.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](b, folder) }()
	select {
	case err = <-result:
	case <-time.After(112 * time.Second):
		err = fmt.Errorf("the case took too long")
	case <-stop:
		err = fmt.Errorf("stopped")
	}
	b.check.mu.Lock()
	defer b.check.mu.Unlock()
	summary := fmt.Sprintf("case %s, trouble %v: %d jobs, %d starts, ends %v, rules broken %d", os.Args[1], b.trouble, len(b.check.jobs), b.check.startCount, b.check.ends, len(b.check.broken))
	rec.line("%s", summary)
	fmt.Println(summary)
	for i, v := range b.check.broken {
		if i < 5 {
			fmt.Println("  " + v)
		}
	}
	switch {
	case len(b.check.broken) > 0:
		return broken
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return held
}

func main() { os.Exit(run()) }
