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
	callTimeout  = 3 * time.Second
	maxTries     = 6
	betweenCalls = 250 * time.Millisecond // mean pause of a caller
	lastingShare = 40                     // one job of so many has persistent tasks, so that all fit
	idDigits     = 16
)

func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// callers hand jobs in, ask for their states and cancel some. Each keeps its
// connections open for as long as the hosts do.
type callers struct {
	fleet *Fleet
	seed  uint64

	mu     sync.Mutex
	known  []string // accepted jobs
	counts map[string]int
}

// run plays n callers until the context ends.
func (c *callers) run(ctx context.Context, n int) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
			client := newClient()
			for ctx.Err() == nil {
				c.act(rng, client)
				time.Sleep(time.Duration(rng.Int64N(int64(2 * betweenCalls))))
			}
		})
	}
	group.Wait()
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callTimeout}
}

func (c *callers) act(rng *rand.Rand, client *http.Client) {
	switch draw := rng.IntN(10); {
	case draw < 5:
		c.handIn(rng, client)
	case draw < 9:
		if id := c.pick(rng); id != "" {
			c.state(rng, client, id)
		}
	default:
		if id := c.pick(rng); id != "" && rng.IntN(3) == 0 {
			c.cancel(rng, client, id)
		}
	}
}

func (c *callers) pick(rng *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) == 0 {
		return ""
	}
	return c.known[rng.IntN(len(c.known))]
}

func (c *callers) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

type stepBody struct {
	Count         int   `json:"Count"`
	Cpu           int64 `json:"Cpu"`
	MemMb         int64 `json:"MemMb"`
	EstimatedMs   int64 `json:"EstimatedMs"`
	After         []int `json:"After,omitempty"`
	SavesProgress bool  `json:"SavesProgress,omitempty"`
	Persistent    bool  `json:"Persistent,omitempty"`
}

// newJob draws a job of one or two steps, or a persistent one.
func newJob(rng *rand.Rand) ([]byte, jobplatform.JobFacts) {
	spec := jobplatform.TaskSpec{WorkMS: 50 + rng.Int64N(1500)}
	if rng.IntN(8) == 0 {
		spec.FailEvery = 2
	}
	facts := jobplatform.JobFacts{Attempts: 3, Lasting: rng.IntN(lastingShare) == 0}
	if facts.Lasting {
		spec = jobplatform.TaskSpec{}
	}
	var steps []stepBody
	for i := range 1 + rng.IntN(2) {
		s := stepBody{Count: 1 + rng.IntN(4), Cpu: 250 + rng.Int64N(750), MemMb: 100, EstimatedMs: spec.WorkMS, SavesProgress: rng.IntN(2) == 0, Persistent: facts.Lasting}
		if i > 0 {
			s.After = []int{0}
		}
		facts.Count, facts.After, facts.Cores = append(facts.Count, s.Count), append(facts.After, s.After), append(facts.Cores, s.Cpu)
		steps = append(steps, s)
		if facts.Lasting {
			break
		}
	}
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // plain values
	}
	facts.Spec = string(text)
	body, err := json.Marshal(map[string]any{"Spec": facts.Spec, "Steps": steps})
	if err != nil {
		panic(err)
	}
	return body, facts
}

// handIn hands a job in until it is accepted or refused for certain.
func (c *callers) handIn(rng *rand.Rand, client *http.Client) {
	id := fmt.Sprintf("%0*x", idDigits, rng.Uint64())
	body, facts := newJob(rng)
	c.fleet.Referee.HandIn(id, facts)
	sure := true // each try so far was answered as not run
	for range maxTries {
		status, _ := c.send(rng, client, http.MethodPost, id, body)
		switch {
		case status == http.StatusOK:
			c.fleet.Referee.Accepted(id)
			c.count("accepted")
			c.mu.Lock()
			c.known = append(c.known, id)
			c.mu.Unlock()
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if sure {
				c.fleet.Referee.Refused(id)
				c.count("refused")
				return
			}
		case status == http.StatusConflict || status >= 400 && status < 500:
			c.count(fmt.Sprintf("status %d", status))
			return
		default:
			sure = false
		}
	}
	c.count("unknown")
}

func (c *callers) state(rng *rand.Rand, client *http.Client, id string) string {
	status, body := c.send(rng, client, http.MethodGet, id, nil)
	switch status {
	case http.StatusOK:
		var answer struct{ State string }
		if err := json.Unmarshal(body, &answer); err != nil {
			return ""
		}
		c.fleet.Referee.State(id, answer.State, true)
		return answer.State
	case http.StatusGone:
		c.fleet.Referee.State(id, "", true)
	}
	return ""
}

func (c *callers) cancel(rng *rand.Rand, client *http.Client, id string) {
	c.fleet.Referee.CancelSent(id)
	for range maxTries {
		if status, _ := c.send(rng, client, http.MethodDelete, id, nil); status == http.StatusOK {
			c.fleet.Referee.Cancelled(id)
			c.count("cancelled")
			return
		}
	}
	c.count("cancel unknown")
}

// send sends one request to a host drawn at random. The status is 0 without an answer.
func (c *callers) send(rng *rand.Rand, client *http.Client, method, id string, body []byte) (int, []byte) {
	h := c.fleet.hosts[rng.IntN(len(c.fleet.hosts))]
	r, err := http.NewRequest(method, "http://"+h.front+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is well-formed
	}
	r.Host = queueHost
	r.Header.Set("X-Tamarackstep-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	answer, err := client.Do(r)
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
