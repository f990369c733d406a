package control_test

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// Guards against a takeover that sends one throttle command for each adopted run in a
// single event, which delays all other work and overflows the pool of requests to workers.
func TestAdoptedRunsAreThrottledInSteps(t *testing.T) {
	w := taskWorld(2, 1, 8)
	small := batchRow("small", 600, 50, time.Hour)
	small.Request.MemoryMB = 50
	w.apply(t, small)
	w.expect(t, 60*time.Second, "all run", func() bool { return len(w.runs("small")) == 600 })
	most, throttled := 0, 0
	for _, n := range w.nodes {
		n.observe = func(_ control.Event, effects []control.Effect) {
			count := 0
			for _, e := range effects {
				if _, ok := e.(control.ThrottleTask); ok {
					count++
				}
			}
			most, throttled = max(most, count), throttled+count
		}
		if len(n.status().Tasks) > 0 {
			n.kill()
		}
	}
	w.expect(t, 60*time.Second, "the share of each adopted run is set", func() bool { return throttled >= 600 })
	if most > 64 {
		t.Errorf("%d throttle commands in one event, want at most 64", most)
	}
}
