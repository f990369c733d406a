package runner

import (
	"context"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

const testTimeout = 20 * time.Second

func job(id control.EffectID, timeout time.Duration, run func(context.Context)) Job[control.EventBody] {
	return Job[control.EventBody]{
		Timeout: timeout,
		Run: func(ctx context.Context) control.EventBody {
			run(ctx)
			return control.PeerSent{Effect: id, Outcome: control.OutcomeDone}
		},
		NotRun: func() control.EventBody { return control.PeerSent{Effect: id, Outcome: control.OutcomeNotDone} },
	}
}

// Guards against effects without an event when a pool is full, against a control
// loop that blocks on a full event queue, and against jobs that run after their
// deadline.
func TestEveryJobIsAnsweredOnce(t *testing.T) {
	events := make(chan control.EventBody) // unbuffered: posting blocks until the test receives
	p := NewPool(NewOutbox(func(b control.EventBody) { events <- b }), 1, 1)
	release := make(chan struct{})
	p.Submit(job(1, testTimeout, func(context.Context) { <-release }))
	p.Submit(job(2, time.Nanosecond, func(context.Context) { t.Error("ran after its deadline") }))
	for id := control.EffectID(3); id <= 5; id++ {
		p.Submit(job(id, testTimeout, func(context.Context) { t.Error("ran beyond the queue") }))
	}
	if p.Depth() != 1 || p.Refused() != 3 {
		t.Errorf("depth %d, refused %d", p.Depth(), p.Refused())
	}
	close(release)
	got := map[control.EffectID]control.Outcome{}
	for range 5 {
		select {
		case b := <-events:
			e := b.(control.PeerSent)
			if got[e.Effect] != 0 {
				t.Errorf("effect %d has two events", e.Effect)
			}
			got[e.Effect] = e.Outcome
		case <-time.After(testTimeout):
			t.Fatalf("only %d of 5 effects have an event after %v: %v", len(got), testTimeout, got)
		}
	}
	for id, want := range []control.Outcome{0, control.OutcomeDone, 2, 2, 2, 2} {
		if got[control.EffectID(id)] != want {
			t.Errorf("effect %d: outcome %v, want %v", id, got[control.EffectID(id)], want)
		}
	}
}
