package loop

import (
	"context"
	"errors"
	"testing"
	"time"
)

// counter is a reducer that returns each event as an effect and sets one timer.
type counter struct {
	seen     []string
	deadline time.Duration // 0: none
	steps    int
}

func (c *counter) Step(_ time.Duration, _ int64, body string) []string {
	c.steps++
	c.seen = append(c.seen, body)
	if body == "timer" {
		c.deadline = 0
	}
	return []string{body}
}

func (c *counter) NextDeadline() (time.Duration, bool) { return c.deadline, c.deadline > 0 }

func (c *counter) TimerEvent() string { return "timer" }

// TestTryPostLeavesRoom guards against new work that fills the queue, so that
// outcomes of effects cannot be queued.
func TestTryPostLeavesRoom(t *testing.T) {
	l := New(&counter{}, 8, func(string) {})
	accepted := 0
	for l.TryPost("call") == nil {
		accepted++
	}
	if err := l.TryPost("call"); !errors.Is(err, ErrQueueFull) || accepted != 6 {
		t.Errorf("TryPost accepted %d events with a queue of 8, then returned %v; want 6 and ErrQueueFull", accepted, err)
	}
	done := make(chan struct{})
	go func() { l.Post("outcome"); l.Post("outcome"); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("Post blocked although new work may fill only three quarters of the queue")
	}
}

// TestRunAppliesInOrder guards against events or effects out of order, against a
// deadline that is never reported or reported repeatedly, and against Post
// blocking after the loop has ended.
func TestRunAppliesInOrder(t *testing.T) {
	m := &counter{deadline: 20 * time.Millisecond}
	effects := make(chan string, 16)
	l := New(m, 8, func(f string) { effects <- f })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.Run(ctx); close(ended) }()
	l.Post("a")
	l.Post("b")
	for _, want := range []string{"a", "b", "timer"} {
		select {
		case got := <-effects:
			if got != want {
				t.Errorf("effect %q, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no effect %q", want)
		}
	}
	cancel()
	<-ended
	if m.steps != 3 {
		t.Errorf("%d steps, want 3: %q", m.steps, m.seen)
	}
	l.Post("late") // must not block once the loop has ended
	for range 16 {
		l.Post("late")
	}
}
