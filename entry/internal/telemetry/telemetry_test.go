package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a separate series for each partition or task that an action
// names, which would grow without bound.
func TestDecisionsAreBounded(t *testing.T) {
	tm := New()
	for i := range 100 {
		tm.RecordDecision("placement", fmt.Sprintf("handed to partition %d", i))
		tm.RecordDecision("placement", fmt.Sprintf("replaced by portal.0-%d", i))
	}
	tm.RecordDecision("placement", "finished")
	var out bytes.Buffer
	tm.set.WritePrometheus(&out)
	for _, want := range []string{`action="handed to"} 100`, `action="replaced by"} 100`, `action="finished"} 1`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no series with %s in\n%s", want, out.String())
		}
	}
}

// Guards against a separate series for each service name that callers invent,
// which would grow without bound.
func TestServicesAreBounded(t *testing.T) {
	tm := New()
	for i := range 1000 {
		tm.RecordCall(fmt.Sprintf("s%d", i), "answered", time.Millisecond)
	}
	var out bytes.Buffer
	tm.set.WritePrometheus(&out)
	if n := strings.Count(out.String(), "tamarackstep_calls_total{"); n != maxServiceSeries+1 {
		t.Errorf("%d series, want %d", n, maxServiceSeries+1)
	}
	if !strings.Contains(out.String(), `tamarackstep_calls_total{service="other",outcome="answered"} 936`) {
		t.Error("calls beyond the bound are not counted together")
	}
}
