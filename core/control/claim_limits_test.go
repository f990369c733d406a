package control_test

import (
	"bytes"
	"fmt"
	"strings"
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

// Guards against an order that the store refuses for good and that holds up the others,
// and against its result that does.
func TestRefusedClaimCostsItsOrderOnly(t *testing.T) {
	h := newHarness(t, 40, 8)
	const orders = 20
	refused := map[control.CallID]bool{h.keyedCall("odd"): true}
	for i := range orders - 1 {
		h.keyedCall(fmt.Sprint("order-", i))
	}
	answers, dispatched, omitted := 0, 0, 0
	for round := range 100 {
		h.advance(100 * time.Millisecond)
		for _, c := range takeAll[control.Commit](h) {
			reject := false
			for _, x := range c.Writes {
				row, _ := x.Row.(structs.ClaimRow)
				reject = reject || row.Key == "odd" || row.Key == "order-3" && row.State == structs.ClaimFinished && !row.BodyOmitted
			}
			if reject {
				h.apply(control.Committed{Effect: c.ID, Outcome: control.OutcomeNotDone, Rejected: true})
				continue
			}
			if writtenClaimState(c, "order-3") == structs.ClaimFinished {
				omitted++
			}
			h.committed(c, structs.Version(round+1))
		}
		for _, a := range takeAll[control.AnswerCall](h) {
			if answers++; !refused[a.Call] || a.Kind != control.AnswerNotRun {
				t.Errorf("answer %+v", a)
			}
		}
		for _, d := range takeAll[control.DispatchCall](h) {
			dispatched++
			h.finish(d, control.OutcomeDone, 200)
		}
	}
	if answers != 1 || dispatched != orders-1 || omitted != 1 {
		t.Errorf("%d orders refused, %d ran, %d results without body; want 1, %d and 1", answers, dispatched, omitted, orders-1)
	}
}

// Guards against a target's header that makes the row of a result larger than the store
// takes.
func TestResultWithALongContentType(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.keyedCall("a")
	h.committed(h.takeClaimCommit(), 5)
	d := takeOne[control.DispatchCall](h)
	h.apply(control.AnswerFinished{
		Call: d.Call, Attempt: d.Attempt, Outcome: control.OutcomeDone, Status: 201,
		ContentType: strings.Repeat("<", 60_000), Body: []byte("answer"),
	})
	h.advance(time.Second)
	c := h.takeClaimCommit()
	row := c.Writes[0].Row.(structs.ClaimRow)
	if reason := overLimit(c); reason != "" || row.State != structs.ClaimFinished || row.Status != 201 || !row.BodyOmitted {
		t.Errorf("%s, state %s, status %d, body omitted: %v", reason, row.State, row.Status, row.BodyOmitted)
	}
}
