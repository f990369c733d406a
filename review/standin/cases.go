package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

func kindA(int) string { return "a" }

// caseEnds: the process that leads is killed while more than 500 short tasks end on
// each worker. A worker returns 500 ends at a time.
func caseEnds(b *bench, folder string) error {
	if err := b.build(folder, 2, 8, 3, kindA); err != nil {
		return err
	}
	const jobs, tasks = 90, 20
	for range jobs {
		b.send(b.newJob("settle base=5000 spread=3000", step{Count: tasks, Cpu: 60, MemMb: 64, EstimatedMs: 6000}))
		time.Sleep(5 * time.Millisecond)
	}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if starts, _, done := b.check.counts(); starts >= jobs*tasks && done >= 20 {
			break
		}
	}
	if b.trouble {
		b.leader().kill(true)
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if len(b.unfinished()) == 0 {
			break
		}
	}
	time.Sleep(3 * time.Second) // the last ends are taken note of
	return nil
}

// caseProgress: all machines of the system lose power for 9.5 s while one large job
// that saves its progress runs, among small ones.
func caseProgress(b *bench, folder string) error {
	if err := b.build(folder, 12, 8, 3, kindA); err != nil {
		return err
	}
	small := func() {
		b.send(b.newJob("settle base=1400", step{Count: 8, Cpu: 7000, MemMb: 13000, EstimatedMs: 1400}))
	}
	b.send(b.newJob("year-end base=17000 saves=1", step{Count: 3200, Cpu: 100, MemMb: 64, EstimatedMs: 17000, SavesProgress: true}))
	begun := time.Now()
	down := false
	for at := time.Duration(0); at < 42*time.Second; at += 500 * time.Millisecond {
		time.Sleep(time.Until(begun.Add(at)))
		if b.trouble && at == 6*time.Second {
			down = true
			for _, h := range b.hosts {
				h.kill(false)
			}
		}
		if b.trouble && at == 15500*time.Millisecond {
			down = false
			for _, h := range b.hosts {
				if err := h.start(); err != nil {
					return err
				}
			}
		}
		if !down && at%(2*time.Second) == 0 {
			small()
		}
	}
	b.mustServe(time.Now())
	return nil
}

// caseEntry: another writer leaves one entry among those of the workers. Its service is
// not named in the configuration, and its rack is a long text. The entry is within the
// store's limit of a row.
func caseEntry(b *bench, folder string) error {
	if err := b.build(folder, 48, 8, 3, kindA); err != nil {
		return err
	}
	begun := time.Now()
	for at := time.Duration(0); at < 25*time.Second; at += 500 * time.Millisecond {
		time.Sleep(time.Until(begun.Add(at)))
		if b.trouble && at == 5*time.Second {
			if err := b.oddEntry(); err != nil {
				return err
			}
		}
		b.send(b.newJob("settle base=1400", step{Count: 8, Cpu: 7000, MemMb: 13000, EstimatedMs: 1400}))
	}
	b.mustServe(time.Now())
	return nil
}

func (b *bench) oddEntry() error {
	entry := map[string]any{"Service": "mail-relay", "Address": "127.0.0.1:9", "State": "ready", "Capacity": map[string]any{}, "Labels": []string{"a", ""}}
	short, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	entry["Labels"] = []string{"a", strings.Repeat("x", rowBytes-len(short))}
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	b.rec.line("another writer: servers/relay-7 is written, %d bytes, RowBytes is %d: %s", len(value), rowBytes, value[:120])
	b.store.put("servers", "relay-7", value)
	return nil
}

// caseKind: workers of kind a crash and start again under their Id, at their address,
// as workers of kind b. Jobs wait that need kind a.
func caseKind(b *bench, folder string) error {
	if err := b.build(folder, 16, 8, 3, func(n int) string { return string(rune('a' + n/8)) }); err != nil {
		return err
	}
	b.check.onStart = func(w *worker, j *job, s *step, o *order) {
		if s.Requirements != "" && w.labels[0] != s.Requirements && w.labels[1] != s.Requirements {
			b.check.breaks("ROUTE "+o.Task, "ROUTE: %s, which requires %q, starts on %s, whose labels are %q, %d ms after its start", o.Task, s.Requirements, w.id, w.labels, time.Now().UnixMilli()-w.bornMS)
		}
	}
	begun := time.Now()
	for at := time.Duration(0); at < 24*time.Second; at += 500 * time.Millisecond {
		time.Sleep(time.Until(begun.Add(at)))
		b.send(b.newJob("settle base=2000", step{Count: 8, Cpu: 16000, MemMb: 13000, EstimatedMs: 2000, Requirements: "a"}))
		if b.trouble && at == 10*time.Second {
			for _, w := range b.workers[:4] {
				b.rec.line("%s crashes", w.id)
				w.crash()
			}
		}
		if b.trouble && at == 13*time.Second {
			for _, w := range b.workers[:4] {
				w.mu.Lock()
				w.labels = []string{"b", w.labels[1]}
				w.mu.Unlock()
				if err := w.boot(); err != nil {
					return err
				}
				b.rec.line("%s starts again under its Id at its address as a worker of kind b, born %d", w.id, w.bornMS)
			}
		}
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if len(b.unfinished()) == 0 {
			break
		}
	}
	return nil
}

// caseCancel: answers of the store are lost, and the writes are done 1 to 6 s later.
// Clients leave within 900 ms, and cancel what they have sent.
func caseCancel(b *bench, folder string) error {
	if err := b.build(folder, 12, 8, 3, kindA); err != nil {
		return err
	}
	const cancelMS, contact = 3000 * time.Millisecond, 3000 * time.Millisecond
	var stableFrom time.Time
	b.check.onStart = func(w *worker, j *job, s *step, o *order) {
		if j.cancelAck.IsZero() || time.Now().Before(stableFrom) {
			return
		}
		if late := time.Since(j.cancelAck); late > cancelMS {
			b.check.breaks("UNASKED "+o.Task, "UNASKED: %s starts on %s %d ms after its job's cancelling was acknowledged with %d", o.Task, w.id, late.Milliseconds(), j.cancelCode)
		}
	}
	begun := time.Now()
	for n := 0; n < 30*12; n++ {
		at := time.Duration(n) * time.Second / 30
		time.Sleep(time.Until(begun.Add(at)))
		if n == 30*4 {
			b.check.mu.Lock()
			stableFrom = time.Now().Add(4500*time.Millisecond + contact)
			b.check.mu.Unlock()
			if b.trouble {
				b.setLate(0.35)
			}
		}
		if n == 30*4+135 {
			b.setLate(0)
		}
		j := b.newJob("settle base=1400", step{Count: 2, Cpu: 1000, MemMb: 1000, EstimatedMs: 1400})
		if n%5 < 2 {
			go b.leave(j)
			continue
		}
		b.send(j)
	}
	time.Sleep(12 * time.Second)
	return nil
}

func (b *bench) setLate(rate float64) {
	b.store.mu.Lock()
	b.store.lateRate = rate
	b.store.mu.Unlock()
	b.rec.line("store: %.2f of the writes get no answer and are done 1 to 6 s later", rate)
}

// leave sends a job once, leaves within 900 ms, and cancels it if it had no answer.
func (b *bench) leave(j *job) {
	body, _ := json.Marshal(map[string]any{"Spec": j.spec, "Steps": j.steps})
	h := b.hosts[int(hash32(j.id))%len(b.hosts)]
	status, _ := b.call(h, http.MethodPost, j.path, body, 900*time.Millisecond)
	b.rec.line("client: POST %s to %s: %d, then it leaves", j.path, h.name, status)
	for range 10 {
		status, _ := b.call(h, http.MethodDelete, j.path, nil, timeLimit)
		b.rec.line("client: DELETE %s at %s: %d", j.path, h.name, status)
		if status == http.StatusGone || status >= 200 && status < 300 {
			b.check.mu.Lock()
			j.cancelAck, j.cancelCode = time.Now(), status
			b.check.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// caseBorn: a worker goes down and up by turns, 1 s each. Its time of day is 2.4 s ahead
// when it starts the first time, and back when it starts again.
func caseBorn(b *bench, folder string) error {
	if err := b.build(folder, 4, 2, 3, kindA); err != nil {
		return err
	}
	w := b.workers[3]
	begun := time.Now()
	for at := time.Duration(0); at < 20*time.Second; at += 200 * time.Millisecond {
		time.Sleep(time.Until(begun.Add(at)))
		if at%(400*time.Millisecond) == 0 {
			b.send(b.newJob("settle base=3000", step{Count: 2, Cpu: 16000, MemMb: 13000, EstimatedMs: 3000}))
		}
		if b.trouble {
			if err := b.flap(w, at); err != nil {
				return err
			}
		}
	}
	b.mustServe(time.Now())
	return nil
}

// flap crashes and starts the worker by turns.
func (b *bench) flap(w *worker, at time.Duration) error {
	switch at {
	case 5 * time.Second, 7 * time.Second:
		b.rec.line("%s crashes", w.id)
		w.crash()
	case 6 * time.Second, 8 * time.Second:
		w.mu.Lock()
		w.ahead = 0
		if at == 6*time.Second {
			w.ahead = 2400
		}
		w.mu.Unlock()
		if err := w.boot(); err != nil {
			return err
		}
		b.rec.line("%s starts again, its time of day is %d ms ahead, born %d", w.id, w.ahead, w.bornMS)
	}
	return nil
}

// caseLink: the host that leads is stopped as planned, and hosts with a link of 10 Mbit/s
// remain for some seconds, as in a deployment with hosts of two sizes.
func caseLink(b *bench, folder string) error {
	b.sizes = []hostSize{{0.8, 200}, {0.11, 10}, {0.11, 10}}
	if err := b.build(folder, 12, 8, 3, kindA); err != nil {
		return err
	}
	text := strings.Repeat("quote for tiles and springs; ", 1200/29)
	const rate, seconds = 26, 56
	begun := time.Now()
	for n := range rate * seconds {
		at := time.Duration(n) * time.Second / rate
		time.Sleep(time.Until(begun.Add(at)))
		if b.trouble && n == rate*48 {
			b.leader().stop()
		}
		j := b.newJob("base=500 "+text, step{Count: 4, Cpu: 500, MemMb: 256, EstimatedMs: 500})
		b.send(j)
		time.AfterFunc(3*time.Second, func() { b.see(j) })
	}
	b.mustServe(time.Now())
	return nil
}

// see asks for the state of a job once.
func (b *bench) see(j *job) {
	if b.ask(j) == "completed" {
		b.check.mu.Lock()
		j.final = "completed"
		b.check.mu.Unlock()
	}
}
