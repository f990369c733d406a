package logline

import "time"

// Event is a log line at its place in the order over all hosts.
type Event struct {
	Line
	At     time.Time // simulated time where the line has one, otherwise the clock of the host
	Writer string    // host that wrote the line, or the name of its file where no line names the host
	File   string
}

// Is reports whether the event is of a part and an action.
func (e Event) Is(part, action string) bool { return e.Part == part && e.Action == action }
