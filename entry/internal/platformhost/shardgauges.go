package platformhost

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/entry/internal/telemetry"
)

// maxBacklogSeries bounds the gauges of backlogs, since configurations name services and
// priorities. Further ones are not shown.
const maxBacklogSeries = 512

// shardGauges shows the reports of the shards' leaders as metrics. Only the control loop
// calls record.
type shardGauges struct {
	metrics  *telemetry.Telemetry
	clock    func() time.Duration
	written  map[scheduler.ShardID]*atomic.Int64
	backlogs map[backlogSeries]bool
}

type backlogSeries struct {
	shard    scheduler.ShardID
	service  string
	priority int
}

func newShardGauges(metrics *telemetry.Telemetry, clock func() time.Duration) *shardGauges {
	return &shardGauges{metrics: metrics, clock: clock, written: make(map[scheduler.ShardID]*atomic.Int64), backlogs: make(map[backlogSeries]bool)}
}

func (g *shardGauges) record(r scheduler.ShardReport) {
	g.recordAge(r)
	for s := range g.backlogs {
		if s.shard == r.Shard {
			g.set(s, scheduler.BacklogClass{}) // set again below if it is reported still
		}
	}
	for service, classes := range r.Backlog {
		for _, c := range classes {
			s := backlogSeries{r.Shard, service, c.Priority}
			if !g.backlogs[s] && len(g.backlogs) >= maxBacklogSeries {
				continue
			}
			g.backlogs[s] = true
			g.set(s, c)
		}
	}
}

func (g *shardGauges) recordAge(r scheduler.ShardReport) {
	at := g.written[r.Shard]
	if at == nil {
		at = &atomic.Int64{}
		g.written[r.Shard] = at
		g.metrics.AddGauge(fmt.Sprintf("tamarackstep_shard_report_age_seconds{shard=\"%d\"}", r.Shard), func() float64 {
			return (g.clock() - time.Duration(at.Load())).Seconds()
		})
	}
	at.Store(int64(r.WrittenAt))
}

func (g *shardGauges) set(s backlogSeries, c scheduler.BacklogClass) {
	labels := fmt.Sprintf("{shard=\"%d\",service=%q,priority=\"%d\"}", s.shard, s.service, s.priority)
	g.metrics.SetGauge("tamarackstep_shard_backlog_core_seconds"+labels, float64(c.Waiting))
	g.metrics.SetGauge("tamarackstep_shard_rate_cores"+labels, float64(c.Rate)/structs.MilliCoresPerCore)
}
