package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

// simulated returns an event of the simulated day whose host has a clock that is off.
func simulated(at time.Duration, writer, part string, off time.Duration) logline.Event {
	e := event(at, writer, part, "start ordered", "i-1", 1)
	e.Simulated, e.SimTime, e.Clock = true, at, e.At.Add(off)
	return e
}

// TestUnseen guards against a trace that says nothing of a host without lines, of
// dropped lines, or of clocks that are off or change.
func TestUnseen(t *testing.T) {
	f := analyse(simulated(0, "early", "host", 0), simulated(second, "a", "host", 0), simulated(3*second, "off", "host", 2*second),
		simulated(3*second, "jumps", "host", 0), simulated(4*second, "a", "task", 0), simulated(5*second, "a", "log", 0),
		simulated(6*second, "jumps", "host", -second), simulated(20*second, "a", "task", 0), simulated(30*second, "late", "host", 0))
	var got []string
	for _, u := range f.Unseen {
		got = append(got, u.Host+": "+u.Text)
	}
	all := strings.Join(got, "\n")
	for _, want := range []string{
		"early: its last line is earlier", "late: its first line is later", "a: reported dropped log lines", "a: has no line",
		"off: its clock is 2s off the others", "jumps: its clock changed by 1s", "jumps: has no line after",
		": no line shows that the job was accepted", ": no line shows the end of 1 of 1 runs",
	} {
		if !strings.Contains(all, want) {
			t.Errorf("%q is missing in\n%s", want, all)
		}
	}
	if strings.Contains(all, "a: its clock") {
		t.Errorf("the clock of a host that is right is reported in\n%s", all)
	}
}
