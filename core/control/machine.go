package control

import "time"

// Machine runs the reducer in a control loop. Observe, where set, is called
// with each event before it is applied, so that a run can be recorded.
type Machine struct {
	State   *State
	Observe func(Event)
}

// Step applies one event.
func (m Machine) Step(at time.Duration, wallMS int64, body EventBody) []Effect {
	ev := Event{At: at, Wall: wallMS, Body: body}
	if m.Observe != nil {
		m.Observe(ev)
	}
	return Reduce(m.State, ev)
}

// NextDeadline returns when the caller must apply the event from TimerEvent next.
func (m Machine) NextDeadline() (time.Duration, bool) { return m.State.NextDeadline() }

// TimerEvent returns the event that reports a passed deadline.
func (m Machine) TimerEvent() EventBody { return TimerFired{} }
