package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// BenchmarkCall measures the three events of a call: CallArrived, AnswerStarted
// and AnswerFinished. One operation is one call.
func BenchmarkCall(b *testing.B) {
	for _, targets := range []int{8, 48, 2300} {
		b.Run(fmt.Sprintf("%d targets", targets), func(b *testing.B) {
			h := newHarness(b, targets, 8)
			ids := make([]string, 8192)
			for i := range ids {
				ids[i] = fmt.Sprint("req-", i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := h.now + time.Duration(i)*20*time.Microsecond
				id := control.CallID(i + 1)
				step := func(body control.EventBody) []control.Effect {
					return control.Reduce(h.s, control.Event{At: now, Body: body})
				}
				step(control.CallArrived{
					Call: id, RequestID: ids[i%len(ids)], Service: "portal", Method: "GET", Class: "/fit", Replayable: true, Timeout: time.Second,
				})
				step(control.AnswerStarted{Call: id, Attempt: 1, Status: 200, SlotsUsed: 2})
				step(control.AnswerFinished{Call: id, Attempt: 1, Outcome: control.OutcomeDone, Status: 200})
			}
		})
	}
}
