package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const jobsHost, jobsPrefix = "nony24.example", "/lohu930/"

// requester sends requests as PROTOCOL.md says: a request without a final answer goes again, to
// another host.
type requester struct {
	w      *world
	hosts  []*host
	client *http.Client
}

func newRequester(w *world, hosts []*host) *requester {
	return &requester{w: w, hosts: hosts, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableKeepAlives: true}}}
}

// ready returns the hosts that report themselves ready.
func (r *requester) ready() []*host {
	var found []*host
	for _, h := range r.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/tamarackstep/readiness", nil)
		resp, err := r.client.Do(req)
		cancel()
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			found = append(found, h)
		}
	}
	return found
}

// pick returns the host that the platform forwards a connection to.
func (r *requester) pick(try int) *host {
	from := r.hosts
	if ready := r.ready(); 2*len(ready) >= len(r.hosts) || len(ready) > 0 {
		from = ready
	}
	return from[(int(r.w.rand()*1e6)+try)%len(from)]
}

// send sends one request; status 0: no answer.
func (r *requester) send(h *host, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = jobsHost
	req.Header.Set("X-Tamarackstep-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := r.client.Do(req)
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

// handIn hands in a job and reports whether it was accepted.
func (r *requester) handIn(j *job, queue string) bool {
	body, _ := json.Marshal(j)
	r.w.mu.Lock()
	r.w.jobs[j.id], j.handedIn, j.queue = j, true, queue
	r.w.mu.Unlock()
	for try := range 5 {
		h := r.pick(try)
		status, _ := r.send(h, http.MethodPost, queue+j.id, body)
		r.w.log("POST %s to %s: %d", j.id, h.name, status)
		switch {
		case status >= 200 && status < 300:
			r.w.mu.Lock()
			j.accepted = time.Now()
			r.w.mu.Unlock()
			return true
		case status == 400 || status == 404 || status == 413:
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job: "gone" after 410, "" without an answer.
func (r *requester) state(j *job, tries int) string {
	for try := range tries {
		h := r.pick(try)
		status, data := r.send(h, http.MethodGet, j.queue+j.id, nil)
		switch {
		case status == http.StatusGone:
			r.w.log("GET %s at %s: 410", j.id, h.name)
			return "gone"
		case status == http.StatusOK:
			var s struct{ State string }
			if json.Unmarshal(data, &s) != nil || s.State == "" {
				return "unreadable"
			}
			return s.State
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// cancel cancels a job and reports whether that was acknowledged.
func (r *requester) cancel(j *job) bool {
	r.w.mu.Lock()
	j.cancelSent = time.Now()
	r.w.mu.Unlock()
	for try := range 5 {
		h := r.pick(try)
		status, _ := r.send(h, http.MethodDelete, j.queue+j.id, nil)
		r.w.log("DELETE %s at %s: %d", j.id, h.name, status)
		if status >= 200 && status < 300 || status == http.StatusGone {
			r.w.mu.Lock()
			j.cancelled = time.Now()
			r.w.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func jobID(seed uint64, n int) string { return fmt.Sprintf("%08x%08x", seed&0xffffffff, n+1) }
