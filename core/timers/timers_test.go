package timers

import (
	"slices"
	"testing"
	"time"
)

// TestOrder guards against values that are returned early, or in an order that
// differs between runs.
func TestOrder(t *testing.T) {
	var q Queue[string]
	q.Add(2*time.Second, "c")
	q.Add(time.Second, "a")
	q.Add(time.Second, "b")
	if at, ok := q.Next(); !ok || at != time.Second || q.Len() != 3 {
		t.Fatalf("next due at %v (%v) with %d values, want 1s with 3 values", at, ok, q.Len())
	}
	if v, ok := q.TakeDue(time.Second - 1); ok {
		t.Fatalf("%q was returned before it was due", v)
	}
	var got []string
	for v, ok := q.TakeDue(2 * time.Second); ok; v, ok = q.TakeDue(2 * time.Second) {
		got = append(got, v)
	}
	if !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("returned in the order %v, want a, b, c", got)
	}
	if _, ok := q.Next(); ok {
		t.Error("an empty queue has a next due time")
	}
}
