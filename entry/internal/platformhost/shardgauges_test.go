package platformhost

import (
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/entry/internal/telemetry"
)

// TestBacklogGauges guards against a backlog that is shown after it is gone, and against a
// report of a silent leader whose age stands still.
func TestBacklogGauges(t *testing.T) {
	metrics, now := telemetry.New(), 10*time.Second
	gauges := newShardGauges(metrics, func() time.Duration { return now })
	report := scheduler.ShardReport{Shard: 1, WrittenAt: 9 * time.Second, Backlog: map[string][]scheduler.BacklogClass{"svc": {{Priority: 2, Waiting: 70, Rate: 1500}}}}
	written := func() string {
		var out strings.Builder
		metrics.Write(&out)
		return out.String()
	}
	expect := func(lines ...string) {
		t.Helper()
		for _, line := range lines {
			if !strings.Contains(written(), line+"\n") {
				t.Errorf("no line %s", line)
			}
		}
	}
	gauges.record(report)
	expect(`tamarackstep_shard_backlog_core_seconds{shard="1",service="svc",priority="2"} 70`,
		`tamarackstep_shard_rate_cores{shard="1",service="svc",priority="2"} 1.5`,
		`tamarackstep_shard_report_age_seconds{shard="1"} 1`)
	report.Backlog = nil
	gauges.record(report)
	now = 14 * time.Second
	expect(`tamarackstep_shard_backlog_core_seconds{shard="1",service="svc",priority="2"} 0`,
		`tamarackstep_shard_report_age_seconds{shard="1"} 5`)
}
