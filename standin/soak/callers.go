package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

const (
	callTimeout         = 3 * time.Second
	maxAttempts         = 6
	meanRequestInterval = 250 * time.Millisecond // of each caller
	persistentJobEvery  = 40                     // one job in 40 has persistent tasks: these never end, and all of them must fit on the workers
	jobIDDigits         = 16
)

func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// callerPool runs callers that submit jobs, query their states and cancel some.
// Each caller keeps its connections open for as long as the hosts do.
type callerPool struct {
	cluster *Cluster
	seed    uint64

	mu           sync.Mutex
	acceptedJobs []string       // IDs
	counts       map[string]int // by result
}

// run runs n callers until the context ends.
func (c *callerPool) run(ctx context.Context, n int) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
			client := newClient()
			for ctx.Err() == nil {
				c.sendRandomRequest(rng, client)
				time.Sleep(time.Duration(rng.Int64N(int64(2 * meanRequestInterval))))
			}
		})
	}
	group.Wait()
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callTimeout}
}

func (c *callerPool) sendRandomRequest(rng *rand.Rand, client *http.Client) {
	switch draw := rng.IntN(10); {
	case draw < 5:
		c.submitJob(rng, client)
	case draw < 9:
		if id := c.pickAcceptedJob(rng); id != "" {
			c.queryState(rng, client, id)
		}
	default:
		if id := c.pickAcceptedJob(rng); id != "" && rng.IntN(3) == 0 {
			c.cancelJob(rng, client, id)
		}
	}
}

// pickAcceptedJob returns a random accepted job, or an empty ID if there is none.
func (c *callerPool) pickAcceptedJob(rng *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.acceptedJobs) == 0 {
		return ""
	}
	return c.acceptedJobs[rng.IntN(len(c.acceptedJobs))]
}

func (c *callerPool) countResult(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[result]++
}

// jobStep is a step of a submitted job on the wire.
type jobStep struct {
	Count         int    `json:"Count"`
	Cpu           int64  `json:"Cpu"`
	MemMb         int64  `json:"MemMb"`
	EstimatedMs   int64  `json:"EstimatedMs"`
	After         []int  `json:"After,omitempty"`
	SavesProgress bool   `json:"SavesProgress,omitempty"`
	Persistent    bool   `json:"Persistent,omitempty"`
	Requirements  string `json:"Requirements,omitempty"`
}

// newJob draws a job of one or two steps, or a job of one persistent step.
func newJob(rng *rand.Rand) ([]byte, jobplatform.JobRecord) {
	spec := jobplatform.TaskSpec{WorkMS: 50 + rng.Int64N(1500)}
	if rng.IntN(8) == 0 {
		spec.FailEvery = 2
	}
	record := jobplatform.JobRecord{MaxAttempts: 3, Persistent: rng.IntN(persistentJobEvery) == 0}
	if record.Persistent {
		spec = jobplatform.TaskSpec{}
	}
	var steps []jobStep
	for i := range 1 + rng.IntN(2) {
		s := jobStep{Count: 1 + rng.IntN(4), Cpu: 250 + rng.Int64N(750), MemMb: 100, EstimatedMs: spec.WorkMS, SavesProgress: rng.IntN(2) == 0, Persistent: record.Persistent}
		if i > 0 {
			s.After = []int{0}
		}
		record.TaskCounts, record.Dependencies, record.MilliCores = append(record.TaskCounts, s.Count), append(record.Dependencies, s.After), append(record.MilliCores, s.Cpu)
		steps = append(steps, s)
		if record.Persistent {
			break
		}
	}
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a struct of integers always encodes
	}
	record.Spec = string(text)
	body, err := json.Marshal(map[string]any{"Spec": record.Spec, "Steps": steps})
	if err != nil {
		panic(err)
	}
	return body, record
}

// submitJob submits a new job.
func (c *callerPool) submitJob(rng *rand.Rand, client *http.Client) {
	id := fmt.Sprintf("%0*x", jobIDDigits, rng.Uint64())
	body, record := newJob(rng)
	c.submit(rng, client, id, body, record)
}

// submit sends a job until it is accepted or known not to be. Without such an
// answer it stops after maxAttempts, and the result stays unknown.
func (c *callerPool) submit(rng *rand.Rand, client *http.Client, id string, body []byte, record jobplatform.JobRecord) {
	c.cluster.Checker.JobSubmitted(id, record)
	allNotRun := true // every attempt so far was answered as not run
	for range maxAttempts {
		status, _ := c.send(rng, client, http.MethodPost, id, body)
		switch {
		case status == http.StatusOK:
			c.cluster.Checker.JobAccepted(id)
			c.countResult("accepted")
			c.mu.Lock()
			c.acceptedJobs = append(c.acceptedJobs, id)
			c.mu.Unlock()
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if allNotRun {
				c.cluster.Checker.JobRefused(id)
				c.countResult("refused")
				return
			}
		case status == http.StatusConflict || status >= 400 && status < 500:
			c.countResult(fmt.Sprintf("status %d", status))
			return
		default:
			allNotRun = false
		}
	}
	c.countResult("unknown")
}

// queryState returns the state that a host reports for a job, and has the
// checker check it. It is empty without an answer and for a removed job.
func (c *callerPool) queryState(rng *rand.Rand, client *http.Client, id string) string {
	status, body := c.send(rng, client, http.MethodGet, id, nil)
	switch status {
	case http.StatusOK:
		var answer struct{ State string }
		if err := json.Unmarshal(body, &answer); err != nil {
			answer.State = "not JSON"
		}
		c.cluster.Checker.CheckReportedState(id, answer.State, true)
		return answer.State
	case http.StatusGone:
		c.cluster.Checker.CheckReportedState(id, "", true)
	}
	return ""
}

// unknownJob is the ID of a job that no caller submits.
const unknownJob = "0123456789abcdef"

// queryUnknown returns the state that a host reports for unknownJob.
func (c *callerPool) queryUnknown(rng *rand.Rand, client *http.Client) string {
	status, body := c.send(rng, client, http.MethodGet, unknownJob, nil)
	if status != http.StatusOK {
		return ""
	}
	return string(body)
}

func (c *callerPool) cancelJob(rng *rand.Rand, client *http.Client, id string) {
	c.cluster.Checker.CancelSent(id)
	for range maxAttempts {
		if status, _ := c.send(rng, client, http.MethodDelete, id, nil); status == http.StatusOK {
			c.cluster.Checker.CancelAcknowledged(id)
			c.countResult("cancelled")
			return
		}
	}
	c.countResult("cancel unknown")
}

// send sends one request to a random host. It returns status 0 if no complete
// answer arrived.
func (c *callerPool) send(rng *rand.Rand, client *http.Client, method, id string, body []byte) (int, []byte) {
	host := c.cluster.hosts[rng.IntN(len(c.cluster.hosts))]
	request, err := http.NewRequest(method, "http://"+host.callerAddress+jobsPathPrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is well-formed
	}
	request.Host = jobsHost
	request.Header.Set("X-Tamarackstep-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}
