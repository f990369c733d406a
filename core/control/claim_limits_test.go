package control_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Guards against a burst of orders, or of large results, in a transaction that the store
// refuses as a whole: no order was served any more.
func TestClaimsStayWithinOneTransaction(t *testing.T) {
	h := newHarness(t, 40, 8)
	for i := range 120 {
		h.keyedCall(fmt.Sprint("order-", i))
	}
	body := bytes.Repeat([]byte{0xff}, 16<<10)
	recorded := 0
	for round := 0; recorded < 120 && round < 100; round++ {
		h.advance(100 * time.Millisecond)
		for _, c := range takeAll[control.Commit](h) {
			if reason := overLimit(c); reason != "" {
				t.Fatalf("the store refuses %s", reason)
			}
			for _, x := range c.Writes {
				if row, ok := x.Row.(structs.ClaimRow); ok && row.State == structs.ClaimFinished {
					recorded++
				}
			}
			h.committed(c, structs.Version(round+1))
		}
		for _, d := range takeAll[control.DispatchCall](h) {
			h.apply(control.AnswerFinished{Call: d.Call, Attempt: d.Attempt, Outcome: control.OutcomeDone, Status: 200, Body: body})
		}
	}
	if recorded != 120 {
		t.Errorf("%d results were recorded, want 120", recorded)
	}
}
