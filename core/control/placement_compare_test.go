package control_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/naive"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	modelWorkers   = 48
	modelRacks     = 6
	modelLeaving   = 11 // index of the worker that leaves after half of the run
	modelBegin     = 5 * time.Second
	arrivalSpacing = 2 * time.Second
	urgentTarget   = 3300 * time.Millisecond
)

// placementDeployment is one of the two deployments of the design page. The page
// does not specify the rows, so these are assumptions.
type placementDeployment struct {
	name           string
	zones          []string
	capacity       structs.Resources
	kinds          []workKind
	length         time.Duration
	period, peakAt time.Duration // the demand peak lasts from peakAt to the end of the period
	offPeak        float64       // demand outside the peak, as a share of the peak demand
	rates          map[string]float64
	burstInterval  time.Duration // interval at which a group of batch tasks that interfere strongly arrives
	burstSize      int
	urgentSize     int
}

func resources(cores, gigabytes float64) structs.Resources {
	return structs.Resources{MilliCores: int64(1000 * cores), MemoryMB: int64(1000 * gigabytes)}
}

// placementRows returns the rows of a deployment whose workers have x times 32
// processors.
func placementRows(service string, replicas int, x, target float64, long time.Duration) []workKind {
	batch, low, normal := structs.KindBatch, structs.ImportanceLow, structs.ImportanceNormal
	return []workKind{
		{name: service, kind: structs.KindService, importance: structs.ImportanceHigh, count: replicas, declared: resources(8*x, 16*x), idleCores: 1.5 * x, fullCores: 7 * x,
			memoryMB: int64(9000 * x), base: 20, target: target, slowedBy: map[string]float64{"export": 0.35, "study": 0.12, "monthend": 0.15, "report": 0.01}},
		{name: "records", kind: structs.KindService, importance: structs.ImportanceHigh, count: 16, declared: resources(4*x, 8*x), idleCores: x, fullCores: 3.5 * x,
			memoryMB: int64(5000 * x), base: 8, target: target, slowedBy: map[string]float64{"export": 0.2, "study": 0.05, "monthend": 0.05, "report": 0.01}},
		{name: "report", kind: batch, importance: low, declared: resources(4*x, 10*x), fullCores: 1.5 * x, memoryMB: int64(4000 * x), work: 90 * time.Second, sigma: 0.5,
			slowedBy: map[string]float64{"export": 0.05}, savesProgress: true},
		{name: "study", kind: batch, importance: normal, declared: resources(6*x, 12*x), fullCores: 3 * x, memoryMB: int64(8000 * x), work: 240 * time.Second, sigma: 0.6,
			slowedBy: map[string]float64{"export": 0.08, "study": 0.03}, savesProgress: true},
		{name: "export", kind: batch, importance: low, declared: resources(3*x, 6*x), fullCores: 5 * x, memoryMB: int64(6000 * x), work: 120 * time.Second, sigma: 0.4,
			slowedBy: map[string]float64{"export": 0.05}},
		{name: "monthend", kind: batch, importance: normal, declared: resources(8*x, 20*x), fullCores: 6 * x, memoryMB: int64(15000 * x), work: long, sigma: 0.2,
			slowedBy: map[string]float64{"export": 0.05}, savesProgress: true},
		{name: "settle", kind: batch, importance: structs.ImportanceUrgent, declared: resources(6*x, 10*x), fullCores: 5 * x, memoryMB: int64(8000 * x), work: 20 * time.Second, sigma: 0.3,
			slowedBy: map[string]float64{"export": 0.05}, savesProgress: true},
	}
}

var placementDeployments = []placementDeployment{
	{
		name: "rodopi", zones: []string{"smolyan", "devin", "zlatograd"}, capacity: structs.Resources{MilliCores: 64000, MemoryMB: 250000},
		kinds: placementRows("obikolka", 40, 2, 2, 15*time.Minute), length: 15 * time.Minute,
		period: 5 * time.Minute, peakAt: 3 * time.Minute, offPeak: 0.25,
		rates: map[string]float64{"report": 1, "study": 0.24, "monthend": 0.012}, burstInterval: 150 * time.Second, burstSize: 80, urgentSize: 6,
	},
	{
		name: "ng-south", zones: []string{"aba-a", "lagos-b", "onitsha-c"}, capacity: structs.Resources{MilliCores: 32000, MemoryMB: 125000},
		kinds: placementRows("member-portal", 44, 1, 1.8, 15*time.Minute), length: 15 * time.Minute,
		period: 2 * time.Minute, peakAt: 75 * time.Second, offPeak: 0.5,
		rates: map[string]float64{"report": 1.2, "study": 0.3, "monthend": 0.012}, burstInterval: 2 * time.Minute, burstSize: 70, urgentSize: 5,
	},
}

// demand returns the demand on the services as a share of the peak demand, and
// whether the demand peak has begun.
func (d *placementDeployment) demand(now time.Duration) (float64, bool) {
	into := now%d.period - d.peakAt
	if into < 0 {
		return d.offPeak, false
	}
	return d.offPeak + (1-d.offPeak)*min(1, into.Seconds()/peakRamp.Seconds()), true
}

// taskArrival is work that the operators add at one time.
type taskArrival struct {
	at    time.Duration
	tasks map[string]int // by row
}

// arrivals generates the work of one run. It is the same for both versions.
func (d *placementDeployment) arrivals(seed uint64) []taskArrival {
	rng := rand.New(rand.NewPCG(seed, 11))
	nextBurst := modelBegin + time.Duration(rng.Int64N(int64(time.Minute)))
	urgent := nextBurst + 40*time.Second
	var list []taskArrival
	for at := modelBegin; at < d.length; at += arrivalSpacing {
		a := taskArrival{at: at, tasks: make(map[string]int)}
		if at == modelBegin {
			for _, k := range d.kinds {
				a.tasks[k.name] = k.count
			}
		}
		for _, k := range d.kinds {
			for p := d.rates[k.name] * arrivalSpacing.Seconds(); p > 0; p-- {
				if rng.Float64() < p {
					a.tasks[k.name]++
				}
			}
		}
		if at >= nextBurst {
			a.tasks["export"], nextBurst = d.burstSize, nextBurst+d.burstInterval
		}
		if at >= urgent {
			a.tasks["settle"], urgent = d.urgentSize, urgent+time.Duration(20+rng.IntN(40))*time.Second
		}
		list = append(list, a)
	}
	return list
}

func (d *placementDeployment) host(i int) structs.Worker {
	rack := i / (modelWorkers / modelRacks)
	zone := d.zones[rack%len(d.zones)]
	return structs.Worker{
		ID: structs.WorkerID(fmt.Sprintf("w%02d", i)), Region: "r", Zone: zone, Rack: fmt.Sprintf("%s-%d", zone, rack),
		Address: fmt.Sprintf("w%02d", i), State: structs.HostLive, Capacity: d.capacity, Slots: 8, Connections: 64,
	}
}

// runControl runs the work through the reducers of three entry hosts.
func (d *placementDeployment) runControl(t testing.TB, seed uint64) *placementFigures {
	w, m := newWorld(seed, modelRacks), newPlacementModel(d, seed)
	for i, y := range m.workers {
		x := w.addWorker(string(d.host(i).ID), "", d.capacity)
		x.spec, x.model, x.failsAll, x.usage = d.host(i), y, y.failsAll, y.usage
	}
	for i := range 3 {
		w.addNode(fmt.Sprintf("e%d", i), 1)
	}
	arrivals, counts, request := d.arrivals(seed), make(map[string]int), control.OperatorRequestID(0)
	for w.now < d.length {
		w.run(modelTick)
		for i, done := range m.tick(w.now) {
			for _, id := range done {
				w.workers[i].end(w.workers[i].runs[id], structs.RunSucceeded, "")
			}
		}
		if w.now == d.length/2 {
			w.workers[modelLeaving].spec.State = structs.HostLeaving
		}
		if len(arrivals) > 0 && w.now >= arrivals[0].at {
			m.addArrivals(arrivals[0], counts)
			request++
			w.nodes[0].applySheet(request, d.rows(counts)...)
			arrivals = arrivals[1:]
		}
	}
	for id := control.OperatorRequestID(1); id < request; id++ {
		if r, ok := reply[control.ApplyReply](w.nodes[0], id); !ok || !r.Accepted {
			t.Fatalf("sheet %d was not accepted: %+v", id, w.nodes[0].replies[id])
		}
	}
	return m.result()
}

// addArrivals adds arriving tasks to the counts and returns their ids.
func (m *placementModel) addArrivals(a taskArrival, counts map[string]int) (ids []structs.TaskID) {
	for i := range m.d.kinds {
		name := m.d.kinds[i].name
		for range a.tasks[name] {
			id := structs.TaskID(fmt.Sprintf("%s.%d", name, counts[name]))
			counts[name]++
			m.arrived[id] = m.now
			ids = append(ids, id)
		}
	}
	return ids
}

// rows returns the sheet for the given task counts.
func (d *placementDeployment) rows(counts map[string]int) (rows []structs.SheetRow) {
	for _, k := range d.kinds {
		if counts[k.name] == 0 {
			continue
		}
		rows = append(rows, structs.SheetRow{
			Name: k.name, Kind: k.kind, Command: k.name, Importance: k.importance, Count: counts[k.name], Request: k.declared,
			RunTimeMS: k.work.Milliseconds(), LatencyTargetMS: int64(k.base * k.target),
		})
	}
	return rows
}

func (m *placementModel) result() *placementFigures {
	m.figures.length = m.d.length
	for id, at := range m.arrived {
		if _, ok := m.first[id]; !ok && id[:6] == "settle" && m.now-at > urgentTarget {
			m.figures.waiting++
		}
	}
	return &m.figures
}

// runNaive runs the same work through the naive placer. If drained is set, the
// workers that fail everything are marked as leaving beforehand.
func (d *placementDeployment) runNaive(seed uint64, drained bool) *placementFigures {
	m, p := newPlacementModel(d, seed), naive.NewPlacer()
	var hosts []structs.Worker
	index := make(map[structs.WorkerID]int)
	for i := range modelWorkers {
		host := d.host(i)
		index[host.ID] = i
		if m.workers[i].failsAll && drained {
			host.State = structs.HostLeaving
		}
		hosts = append(hosts, host)
	}
	p.SetWorkers(hosts)
	row := make(map[structs.TaskID]string)
	arrivals, counts := d.arrivals(seed), make(map[string]int)
	var stopping, failedStarts []naive.Action
	for now := modelTick; now <= d.length; now += modelTick {
		for i, done := range m.tick(now) {
			for _, id := range done {
				m.workers[i].stopped(id, structs.RunSucceeded)
				p.TaskEnded(now, id, structs.RunSucceeded)
			}
		}
		for _, a := range stopping {
			if x := m.workers[index[a.Worker]]; x.find(a.Task) != nil {
				x.stopped(a.Task, structs.RunCheckpointed)
				p.TaskEnded(now, a.Task, structs.RunCheckpointed)
			}
		}
		for _, a := range failedStarts {
			p.TaskEnded(now, a.Task, structs.RunFailed)
		}
		stopping, failedStarts = nil, nil
		if now == d.length/2 {
			hosts[modelLeaving].State = structs.HostLeaving
			p.SetWorkers(hosts)
		}
		if len(arrivals) > 0 && now >= arrivals[0].at {
			for _, id := range m.addArrivals(arrivals[0], counts) {
				k := m.kindOf(id)
				row[id] = k.name
				p.Submit(naive.Task{ID: id, Row: k.name, Kind: k.kind, Importance: k.importance, Request: k.declared})
			}
			arrivals = arrivals[1:]
		}
		for _, a := range p.Step(now) {
			switch x := m.workers[index[a.Worker]]; {
			case a.Evict:
				stopping = append(stopping, a)
			case x.failsAll:
				x.stopped(a.Task, structs.RunFailed)
				failedStarts = append(failedStarts, a)
			default:
				x.begin(a.Task, row[a.Task])
			}
		}
	}
	return m.result()
}

// kindOf returns the kind whose name is the prefix of the task id.
func (m *placementModel) kindOf(id structs.TaskID) *workKind {
	for i := range m.d.kinds {
		if k := &m.d.kinds[i]; len(id) > len(k.name) && string(id[:len(k.name)]) == k.name && id[len(k.name)] == '.' {
			return k
		}
	}
	return nil
}

// TestPlacementTargets guards the targets of the design page in both deployments
// against a regression: the share of calls that miss their target at the demand
// peak is at least 3 times lower than with the naive placer, tail latency at
// least 2 times lower at equal or better batch throughput, and urgent work starts
// in time. The runs are deterministic.
func TestPlacementTargets(t *testing.T) {
	for i := range placementDeployments {
		d := &placementDeployments[i]
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			naiveFigures, controlFigures := d.runNaive(1, false), d.runControl(t, 1)
			t.Logf("naive   %v", naiveFigures)
			t.Logf("control %v", controlFigures)
			if controlFigures.misses()*3 > naiveFigures.misses() {
				t.Error("peak misses are not 3 times lower")
			}
			if controlFigures.quantile(0.99)*2 > naiveFigures.quantile(0.99) || controlFigures.quantile(0.999)*2 > naiveFigures.quantile(0.999) {
				t.Error("tail latency is not 2 times lower")
			}
			if controlFigures.throughput() < naiveFigures.throughput() {
				t.Error("batch throughput is lower")
			}
			if controlFigures.slowestUrgent() > urgentTarget || controlFigures.waiting > 0 {
				t.Error("urgent work starts late")
			}
		})
	}
}

// placementRatios are the figures that have a target, as naive divided by
// control.
var placementRatios = []struct {
	name string
	of   func(*placementFigures) float64
}{
	{"peak misses", (*placementFigures).misses},
	{"factor p99", func(f *placementFigures) float64 { return f.quantile(0.99) }},
	{"factor p99.9", func(f *placementFigures) float64 { return f.quantile(0.999) }},
	{"finished work", (*placementFigures).throughput},
}

// BenchmarkPlacement runs the same work through both versions and prints the
// figures, and the ratios of naive to control with their spread over the seeds.
func BenchmarkPlacement(b *testing.B) {
	for i := range placementDeployments {
		d := &placementDeployments[i]
		b.Run(d.name, func(b *testing.B) {
			for range b.N {
				d.compare(b, 5)
			}
		})
	}
}

func (d *placementDeployment) compare(b *testing.B, seeds uint64) {
	ratios := make(map[string][]float64)
	for seed := uint64(1); seed <= seeds; seed++ {
		naiveFigures, drained, controlFigures := d.runNaive(seed, false), d.runNaive(seed, true), d.runControl(b, seed)
		for _, r := range placementRatios {
			ratios["naive/"+r.name] = append(ratios["naive/"+r.name], r.of(naiveFigures)/r.of(controlFigures))
			ratios["drained/"+r.name] = append(ratios["drained/"+r.name], r.of(drained)/r.of(controlFigures))
		}
		fmt.Printf("%s seed %d naive          %v\n", d.name, seed, naiveFigures)
		fmt.Printf("%s seed %d naive, drained %v\n", d.name, seed, drained)
		fmt.Printf("%s seed %d control        %v\n", d.name, seed, controlFigures)
	}
	for _, version := range []string{"naive/", "drained/"} {
		for _, r := range placementRatios {
			list := ratios[version+r.name]
			sort.Float64s(list)
			fmt.Printf("%s %s%s over control: median %.2f, from %.2f to %.2f\n", d.name, version, r.name, list[len(list)/2], list[0], list[len(list)-1])
		}
	}
}
