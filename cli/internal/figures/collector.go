package figures

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

// Collector collects the figures. Its memory grows with the number of jobs, not
// with that of lines.
type Collector struct {
	figures  Figures
	hosts    map[string]int // starts of the process of each host
	jobs     map[string]*job
	queue    int
	waits    []time.Duration
	ends     map[string]int
	refusals map[string]int
	buckets  buckets
	recovery recovery
}

// job is an accepted or started job until its final state is stored.
type job struct {
	acceptedAt time.Time
	shard      string
	accepted   bool
	started    bool
	final      bool
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{
		hosts: make(map[string]int), jobs: make(map[string]*job), ends: make(map[string]int), refusals: make(map[string]int),
		buckets: newBuckets(), recovery: newRecovery(),
	}
}

// Add takes the next event.
func (c *Collector) Add(e logline.Event) {
	c.addTime(e)
	switch e.Part {
	case "request":
		c.addRequest(e)
	case "task":
		c.addTask(e)
	case "job":
		c.addJob(e)
	case "worker":
		c.addWorker(e)
	case "leader":
		c.addLeader(e)
	case "host":
		if e.Action == "started" {
			c.hosts[e.Writer]++
		}
	case "store":
		c.recovery.addStore(e)
	}
}

func (c *Collector) addTime(e logline.Event) {
	f := &c.figures
	if f.From.IsZero() || e.At.Before(f.From) {
		f.From = e.At
	}
	if e.At.After(f.To) {
		f.To = e.At
	}
	c.hosts[e.Writer] += 0
	bucket := c.buckets.at(e.At)
	bucket.Queue = max(bucket.Queue, c.queue)
}

func (c *Collector) addRequest(e logline.Event) {
	switch {
	case e.Action == "job accepted":
		c.accept(e)
		c.recovery.served(e)
	case strings.HasPrefix(e.Action, "refused"):
		name := strings.TrimPrefix(e.Action, "refused: ")
		if e.Reason != "" {
			name += ": " + e.Reason
		}
		c.refusals[name]++
		c.buckets.at(e.At).Refusals++
	}
}

// jobNamed returns a job, which it adds if it is new.
func (c *Collector) jobNamed(name string) *job {
	j := c.jobs[name]
	if j == nil {
		j = &job{}
		c.jobs[name] = j
	}
	return j
}

// accept counts a job. A retry of its caller may be accepted again.
func (c *Collector) accept(e logline.Event) {
	j := c.jobNamed(e.Subject)
	if j.accepted {
		return
	}
	j.accepted, j.acceptedAt, j.shard = true, e.At, e.Reason
	c.figures.Accepted++
	if j.started || j.final {
		c.countFirstStart(j, e.At) // the clock of the leader is behind that of this host
		return
	}
	c.changeQueue(1, e.At)
}

func (c *Collector) changeQueue(by int, at time.Time) {
	c.queue += by
	c.figures.WorstQueue = max(c.figures.WorstQueue, c.queue)
	bucket := c.buckets.at(at)
	bucket.Queue = max(bucket.Queue, c.queue)
}

func (c *Collector) countFirstStart(j *job, at time.Time) {
	if !j.started {
		return
	}
	wait := max(0, at.Sub(j.acceptedAt))
	c.figures.Started++
	c.waits = append(c.waits, wait)
	bucket := c.buckets.at(at)
	bucket.WorstWait = max(bucket.WorstWait, wait)
}

func (c *Collector) addTask(e logline.Event) {
	f := &c.figures
	c.recovery.decided(e)
	switch {
	case e.Action == "start ordered":
		c.start(e)
	case e.Action == "start refused":
		f.StartsRefused++
	case e.Action == "start without an answer":
		f.StartsUnanswered++
	case e.Action == "run lost":
		f.RunsLost++
		c.recovery.runLost(e)
	case e.Action == "run adopted":
		f.RunsAdopted++
	case strings.HasPrefix(e.Action, "end listed: "):
		c.ends[strings.TrimPrefix(e.Action, "end listed: ")]++
	}
}

func (c *Collector) start(e logline.Event) {
	c.figures.Starts++
	c.buckets.at(e.At).Starts++
	j := c.jobNamed(jobOf(e.Subject))
	if !j.started {
		j.started = true
		if j.accepted {
			c.changeQueue(-1, e.At)
			c.countFirstStart(j, e.At)
		}
	}
	c.recovery.served(e)
	c.recovery.started(e, j.shard)
}

func (c *Collector) addJob(e logline.Event) {
	c.recovery.decided(e)
	j := c.jobNamed(e.Subject)
	switch {
	case e.Action == "moves to another shard":
		j.shard = e.Where
	case strings.HasPrefix(e.Action, "job ") && !j.final:
		j.final = true
		if j.accepted && !j.started {
			c.changeQueue(-1, e.At)
		}
	}
}

func (c *Collector) addWorker(e logline.Event) {
	c.recovery.decided(e)
	switch e.Action {
	case "does not answer":
		c.figures.WorkersLost++
		c.recovery.workerLost(e, WorkerLostToStart)
	case "started again":
		c.figures.WorkerRestarts++
		c.recovery.workerLost(e, WorkerRestartToStart)
	case "listed", "lists read":
		c.recovery.workerBack(e)
	}
}

func (c *Collector) addLeader(e logline.Event) {
	switch e.Action {
	case "took the lead":
		if e.Version > 1 {
			c.figures.Takeovers++
		}
		c.endLead(e, false)
		c.figures.Leads = append(c.figures.Leads, Lead{Shard: e.Where, Host: e.Writer, Epoch: e.Version, From: e.At})
		c.recovery.tookLead(e)
	case "gave up the lead":
		c.endLead(e, true)
		c.recovery.gaveUp(e)
	case "state read from the store":
		c.recovery.stateRead(e)
	}
}

// endLead ends the lead of a shard that is open: that of the same host when it gave
// up, that of any host when another one took it.
func (c *Collector) endLead(e logline.Event, gaveUp bool) {
	for i := range slices.Backward(c.figures.Leads) {
		lead := &c.figures.Leads[i]
		if lead.Shard != e.Where {
			continue
		}
		if lead.To.IsZero() && (!gaveUp || lead.Host == e.Writer) {
			lead.To, lead.GaveUp = e.At, gaveUp
		}
		return
	}
}

// Figures returns the figures of the events so far.
func (c *Collector) Figures() Figures {
	f := c.figures
	f.Hosts = len(c.hosts)
	for _, starts := range c.hosts {
		f.HostRestarts += max(0, starts-1)
	}
	f.Leads = slices.Clone(f.Leads)
	for i := range f.Leads {
		if f.Leads[i].To.IsZero() {
			f.Leads[i].To = f.To
		}
	}
	f.Ends, f.Refusals = counts(c.ends), counts(c.refusals)
	f.Wait = newDistribution(slices.Clone(c.waits))
	f.Recoveries = c.recovery.list()
	f.BucketWidth, f.Buckets = c.buckets.width, c.buckets.list()
	return f
}
