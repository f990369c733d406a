// Package telemetry collects the metrics of an entry host and writes them in the
// Prometheus text format. docs/metrics.md lists them. Label values come from
// closed sets, except for the names of services, of which a bounded number get
// series of their own.
package telemetry

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// maxServiceSeries bounds the services with series of their own. Calls of further
// services are counted under otherServices.
const maxServiceSeries = 64

const otherServices = "other"

// Telemetry holds the metrics of one process.
type Telemetry struct {
	set  *metrics.Set
	step *metrics.Histogram

	mu         sync.Mutex
	services   map[string]bool
	counters   map[seriesKey]*metrics.Counter
	histograms map[seriesKey]*metrics.Histogram
}

// seriesKey identifies a series, so that its name is formatted only once.
type seriesKey struct{ metric, label1, label2 string }

// New returns a set of metrics without any recorded values.
func New() *Telemetry {
	set := metrics.NewSet()
	return &Telemetry{
		set: set, step: set.NewHistogram("tamarackstep_loop_step_seconds"),
		services: make(map[string]bool), counters: make(map[seriesKey]*metrics.Counter),
		histograms: make(map[seriesKey]*metrics.Histogram),
	}
}

// AddGauge adds a gauge whose value is read when the metrics are written.
func (t *Telemetry) AddGauge(name string, read func() float64) { t.set.NewGauge(name, read) }

// SetGauge sets a gauge, and adds it if it is not there.
func (t *Telemetry) SetGauge(name string, value float64) {
	t.set.GetOrCreateGauge(name, nil).Set(value)
}

// Write writes all metrics, with those of the Go runtime and the process.
func (t *Telemetry) Write(w io.Writer) {
	t.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RecordCall records the end of a call. Service is empty for a call that ended
// before its service was known.
func (t *Telemetry) RecordCall(service, result string, elapsed time.Duration) {
	service = t.serviceLabel(service)
	t.counter(seriesKey{"calls", service, result}, func() string {
		return fmt.Sprintf("tamarackstep_calls_total{service=%q,outcome=%q}", service, result)
	}).Inc()
	t.histogram(seriesKey{"calls", service, ""}, func() string {
		return fmt.Sprintf("tamarackstep_call_seconds{service=%q}", service)
	}).Update(elapsed.Seconds())
}

// RecordRequest records the outcome of a request to another process. Part is the
// kind of peer (platform, worker or peer) or the pool that ran the request.
func (t *Telemetry) RecordRequest(part, step string, outcome control.Outcome, elapsed time.Duration) {
	name := OutcomeName(outcome)
	t.counter(seriesKey{part, step, name}, func() string {
		return fmt.Sprintf("tamarackstep_%s_requests_total{step=%q,outcome=%q}", part, step, name)
	}).Inc()
	t.histogram(seriesKey{part, step, ""}, func() string {
		return fmt.Sprintf("tamarackstep_%s_request_seconds{step=%q}", part, step)
	}).Update(elapsed.Seconds())
}

// RecordDecision counts a decision by the first two words of its action: some
// actions end with names, which would create a series each.
func (t *Telemetry) RecordDecision(part, action string) {
	words := strings.SplitN(action, " ", 3)
	if len(words) > 2 {
		words = words[:2]
	}
	action = strings.Join(words, " ")
	t.counter(seriesKey{"decisions", part, action}, func() string {
		return fmt.Sprintf("tamarackstep_decisions_total{part=%q,action=%q}", part, action)
	}).Inc()
}

// RecordStep records how long the control loop took for one event.
func (t *Telemetry) RecordStep(elapsed time.Duration) { t.step.Update(elapsed.Seconds()) }

// OutcomeName returns the label value of an outcome.
func OutcomeName(o control.Outcome) string {
	switch o {
	case control.OutcomeDone:
		return "done"
	case control.OutcomeNotDone:
		return "not_done"
	}
	return "unknown"
}

// serviceLabel returns the label value for a service. Callers choose the names of
// services, so the number of label values has to be bounded.
func (t *Telemetry) serviceLabel(service string) string {
	if service == "" {
		return otherServices
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.services[service] {
		if len(t.services) >= maxServiceSeries {
			return otherServices
		}
		t.services[service] = true
	}
	return service
}

func (t *Telemetry) counter(k seriesKey, name func() string) *metrics.Counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.counters[k]
	if !ok {
		c = t.set.NewCounter(name())
		t.counters[k] = c
	}
	return c
}

func (t *Telemetry) histogram(k seriesKey, name func() string) *metrics.Histogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.histograms[k]
	if !ok {
		h = t.set.NewHistogram(name())
		t.histograms[k] = h
	}
	return h
}
