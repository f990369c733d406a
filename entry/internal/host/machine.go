package host

import (
	"context"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/entry/internal/logging"
)

// timedMachine measures how long the reducer takes for each event.
type timedMachine struct {
	control.Machine
	observeStep func(time.Duration)
}

// Step applies one event and reports its duration.
func (m timedMachine) Step(at time.Duration, wallMS int64, body control.EventBody) []control.Effect {
	start := time.Now()
	effects := m.Machine.Step(at, wallMS, body)
	m.observeStep(time.Since(start))
	return effects
}

// statusTimeout bounds the wait for the reducer's status when metrics are
// collected.
const statusTimeout = time.Second

// registerGauges adds the metrics that are read when metrics are written.
func (h *Host) registerGauges(logQueue *logging.Queue) {
	h.metrics.AddGauge("tamarackstep_log_lines_dropped_total", func() float64 { return float64(logQueue.Dropped()) })
	h.metrics.AddGauge("tamarackstep_event_queue_depth", func() float64 { return float64(h.loop.Depth()) })
	h.metrics.AddGauge("tamarackstep_calls_in_progress", func() float64 { return float64(h.proxy.InProgress()) })
	for name, p := range h.pools {
		label := `{runner="` + name + `"}`
		h.metrics.AddGauge("tamarackstep_runner_waiting"+label, func() float64 { return float64(p.Depth()) })
		h.metrics.AddGauge("tamarackstep_runner_refused_total"+label, func() float64 { return float64(p.Refused()) })
	}
	h.statusGauge("tamarackstep_generation", func(s control.StatusReply) float64 { return float64(s.Generation) })
	h.statusGauge("tamarackstep_partitions_owned", func(s control.StatusReply) float64 {
		owned := 0
		for _, p := range s.Partitions {
			if p.Owner == s.Host {
				owned++
			}
		}
		return float64(owned)
	})
	h.statusGauge("tamarackstep_store_reachable", func(s control.StatusReply) float64 { return boolValue(s.StoreReachable) })
	h.statusGauge("tamarackstep_ready", func(s control.StatusReply) float64 { return boolValue(s.Ready) })
}

// statusGauge adds a gauge with a value from the reducer's status. It is -1 when
// the control loop does not answer.
func (h *Host) statusGauge(name string, read func(control.StatusReply) float64) {
	h.metrics.AddGauge(name, func() float64 {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		defer cancel()
		status, err := h.statusCache.Status(ctx)
		if err != nil {
			return -1
		}
		return read(status)
	})
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
