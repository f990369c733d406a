package timers

import (
	"slices"
	"testing"
	"time"
)

// Guards against values that come out early, or in an order that differs from
// run to run.
func TestOrder(t *testing.T) {
	var q Queue[string]
	q.Add(2*time.Second, "c")
	q.Add(time.Second, "a")
	q.Add(time.Second, "b")
	if at, ok := q.Next(); !ok || at != time.Second || q.Len() != 3 {
		t.Fatalf("next at %v, %d values", at, q.Len())
	}
	if v, ok := q.TakeDue(time.Second - 1); ok {
		t.Fatalf("%q came out early", v)
	}
	var got []string
	for v, ok := q.TakeDue(2 * time.Second); ok; v, ok = q.TakeDue(2 * time.Second) {
		got = append(got, v)
	}
	if !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("order %v", got)
	}
	if _, ok := q.Next(); ok {
		t.Error("an empty queue has a next instant")
	}
}
