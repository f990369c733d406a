package naive_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// deployments are both deployments of the design page, with demand that alternates
// between a base and a peak level. The kinds of call and their service times are
// assumptions, because the page gives none.
var deployments = []deployment{
	{
		name: "rodopi", zones: []string{"smolyan", "devin", "zlatograd"}, zoneDelay: time.Millisecond, clientDelay: time.Millisecond,
		kinds: []callKind{
			{method: "GET", class: "/logs", share: 0.80, mean: 20 * time.Millisecond, sigma: 0.4},
			{method: "GET", class: "/route", share: 0.18, mean: 90 * time.Millisecond, sigma: 0.5},
			{method: "POST", class: "/settle", share: 0.02, mean: 3 * time.Second, sigma: 0.6, long: true},
		},
		length: 40 * time.Second, baseDemand: 0.45, peakDemand: 1.02, period: 20 * time.Second, peakStart: 12 * time.Second, target: 250 * time.Millisecond, slowedWorkers: 6, slowFactor: 2.5,
	},
	{
		name: "ng-south", zones: []string{"aba-a", "lagos-b", "onitsha-c"}, zoneDelay: 500 * time.Microsecond, clientDelay: 3 * time.Millisecond,
		kinds: []callKind{
			{method: "GET", class: "/fit", share: 0.70, mean: 30 * time.Millisecond, sigma: 0.4},
			{method: "POST", class: "/quote", share: 0.285, mean: 60 * time.Millisecond, sigma: 0.5},
			{method: "POST", class: "/study", share: 0.015, mean: 4 * time.Second, sigma: 0.6, long: true},
		},
		length: 40 * time.Second, baseDemand: 0.65, peakDemand: 0.97, period: 10 * time.Second, peakStart: 6 * time.Second, target: 200 * time.Millisecond, slowedWorkers: 8, slowFactor: 2,
	},
}

// results are the measurements of one run.
type results struct {
	p50, p99, p999, longP99 time.Duration // latency at the caller
	wait, waitP99           time.Duration // of short calls, from arrival at the entry host to the start of work
	missRate                float64       // share of short calls at peak demand that exceeded the target or got no answer
	refused, refusedLong    int           // short calls without an answer, long calls that an entry host refused
	longDone                int           // long calls completed within the run
	workerRefusalRate       float64       // share of dispatches that a worker refused
}

func (s *sim) results() results {
	var r results
	var short, long, waits []time.Duration
	peakCalls, missed := 0, 0
	for _, c := range s.calls {
		if c.kind.long {
			if c.done > 0 {
				long = append(long, c.done-c.at)
				if c.done < s.d.length {
					r.longDone++
				}
			}
			if c.refused {
				r.refusedLong++
			}
			continue
		}
		atPeak := c.at%s.d.period >= s.d.peakStart
		if atPeak {
			peakCalls++
		}
		if c.done == 0 || c.done-c.at > s.d.target {
			if atPeak {
				missed++
			}
		}
		if c.done == 0 {
			r.refused++
			continue
		}
		short = append(short, c.done-c.at)
		waits = append(waits, c.start-c.at-s.d.clientDelay)
	}
	r.p50, r.p99, r.p999 = quantile(short, 0.5), quantile(short, 0.99), quantile(short, 0.999)
	r.longP99, r.waitP99 = quantile(long, 0.99), quantile(waits, 0.99)
	for _, x := range waits {
		r.wait += x
	}
	r.wait /= time.Duration(max(len(waits), 1))
	r.missRate = float64(missed) / float64(max(peakCalls, 1))
	r.workerRefusalRate = float64(s.workerRefusals) / float64(s.sent)
	return r
}

// quantile returns the q-quantile of d, which it sorts.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)].Round(10 * time.Microsecond)
}

func (r results) String() string {
	return fmt.Sprintf("short p50 %v p99 %v p99.9 %v, wait mean %v p99 %v, peak misses %.2f%%, refused %d; long p99 %v, done %d, refused %d; refused by workers %.1f%%",
		r.p50, r.p99, r.p999, r.wait.Round(10*time.Microsecond), r.waitP99, 100*r.missRate, r.refused, r.longP99, r.longDone, r.refusedLong, 100*r.workerRefusalRate)
}

// versions are the routers that are compared. One of the naive ones divides the
// slots of a target among the entry hosts.
var versions = []string{"naive", "naive, 2 a target", "control"}

// TestRoutingTargets guards against routing that misses the targets of the design
// page over one demand peak of the first deployment: at least 3 times fewer missed
// latency targets and less waiting of short calls than the naive router, and at
// most half its tail latency. The run is deterministic.
func TestRoutingTargets(t *testing.T) {
	d := deployments[0]
	d.length = 20 * time.Second
	baseline, got := d.run("naive", 1).results(), d.run("control", 1).results()
	t.Logf("naive   %v", baseline)
	t.Logf("control %v", got)
	if got.missRate*3 > baseline.missRate || got.wait*3 > baseline.wait || got.p99*2 > baseline.p99 || got.p999*2 > baseline.p999 {
		t.Error("control must have a third of the peak misses and mean wait of naive, and half of its p99 and p99.9")
	}
}

// BenchmarkRouting runs the same calls through all versions and prints a table of
// the results.
func BenchmarkRouting(b *testing.B) {
	for i := range deployments {
		d := &deployments[i]
		b.Run(d.name, func(b *testing.B) {
			for range b.N {
				for seed := uint64(1); seed <= 3; seed++ {
					for _, version := range versions {
						fmt.Printf("%s seed %d %-17s %v\n", d.name, seed, version, d.run(version, seed).results())
					}
				}
			}
		})
	}
}
