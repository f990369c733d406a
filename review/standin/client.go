package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	jobHost   = "nony24.example"
	jobPrefix = "/lohu930/"
	service   = "obikolka"
	timeLimit = 3 * time.Second // of a client's request
)

// call sends one request of a client. Status 0: no answer.
func (b *bench) call(h *host, method, path string, body []byte, patience time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = jobHost
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("X-Tamarackstep-Deadline-Ms", "3000")
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func (b *bench) newJob(spec string, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: spec, steps: steps, sentAt: time.Now()}
	j.path = jobPrefix + j.id
	b.check.add(j)
	return j
}

// submit hands a job in, with up to 4 retries at other hosts, as the clients of the
// sheet do.
func (b *bench) submit(j *job) bool {
	body, err := json.Marshal(map[string]any{"Spec": j.spec, "Steps": j.steps})
	if err != nil {
		panic(err)
	}
	first := rand.IntN(len(b.hosts))
	for try := range 5 {
		h := b.hosts[(first+try)%len(b.hosts)]
		status, _ := b.call(h, http.MethodPost, j.path, body, timeLimit)
		b.rec.line("client: POST %s to %s, try %d: %d", j.path, h.name, try+1, status)
		b.check.mu.Lock()
		j.answers = append(j.answers, fmt.Sprint(status))
		if status >= 200 && status < 300 && j.accepted.IsZero() {
			j.accepted = time.Now()
		}
		b.check.mu.Unlock()
		switch {
		case status >= 200 && status < 300:
			return true
		case status == 404 || status == 400:
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// ask asks for the state of a job, at any host that answers.
func (b *bench) ask(j *job) string {
	first := rand.IntN(len(b.hosts))
	for try := range 5 {
		h := b.hosts[(first+try)%len(b.hosts)]
		status, data := b.call(h, http.MethodGet, j.path, nil, timeLimit)
		if status == http.StatusOK {
			var answer struct{ State string }
			_ = json.Unmarshal(data, &answer)
			b.rec.line("client: GET %s at %s: 200 %s", j.path, h.name, answer.State)
			return answer.State
		}
		b.rec.line("client: GET %s at %s: %d", j.path, h.name, status)
		if status == http.StatusGone {
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}
