package control_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	modelTick    = 250 * time.Millisecond
	usageLag     = 2500 * time.Millisecond // age of the measurements that workers report
	latencyNoise = 0.08                    // relative error of a reported latency
	usageNoise   = 0.15                    // relative spread of the true usage
	peakRamp     = 4 * time.Second         // time in which demand rises from the off-peak level to the peak
)

// workKind is one row of the sheet: its declared and its true properties.
type workKind struct {
	name                 string
	kind                 structs.RowKind
	importance           structs.Importance
	count                int               // replicas
	declared             structs.Resources // of one task
	idleCores, fullCores float64           // true processor usage without demand and at full demand; batch: only fullCores
	memoryMB             int64             // true
	work                 time.Duration     // batch: mean run time without interference, log-normal
	sigma                float64
	base                 float64            // service time without interference, milliseconds
	target               float64            // slowdown that the latency target allows
	slowedBy             map[string]float64 // slowdown caused by one task of another row at full load
	savesProgress        bool               // a checkpoint preserves its progress
}

// modelRun is one run with its true usage.
type modelRun struct {
	task      structs.TaskID
	kind      *workKind
	startedAt time.Duration
	share     float64
	size      float64 // true usage relative to that of the kind
	samples   []modelSample
}

// modelSample is one measurement of a run.
type modelSample struct {
	at      time.Duration
	used    structs.Resources
	latency float64
}

// modelWorker is one worker with its true load.
type modelWorker struct {
	m        *placementModel
	cores    float64
	failsAll bool
	runs     []*modelRun // in order of start
}

// placementModel simulates the true usage and progress for one run of one
// version. The interference on a run is the sum over the batch tasks on the same
// worker, times the square of the load, times the excess of demand over
// processors.
type placementModel struct {
	d       *placementDeployment
	seed    uint64
	rng     *rand.Rand // noise of the measurements
	now     time.Duration
	workers []*modelWorker
	kinds   map[string]*workKind
	left    map[structs.TaskID]float64 // remaining work, seconds
	arrived map[structs.TaskID]time.Duration
	first   map[structs.TaskID]time.Duration // first start
	figures placementFigures
}

func newPlacementModel(d *placementDeployment, seed uint64) *placementModel {
	m := &placementModel{
		d: d, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), kinds: make(map[string]*workKind),
		left: make(map[structs.TaskID]float64), arrived: make(map[structs.TaskID]time.Duration),
		first: make(map[structs.TaskID]time.Duration),
	}
	m.figures.latency = make(map[int]float64)
	for i := range d.kinds {
		m.kinds[d.kinds[i].name] = &d.kinds[i]
	}
	for i := range modelWorkers {
		m.workers = append(m.workers, &modelWorker{m: m, cores: float64(d.capacity.MilliCores) / 1000, failsAll: i == 5 || i == 29})
	}
	return m
}

// drawTask returns the work of a task and its size relative to its kind. They
// depend only on the seed and the task, so that both versions process the same
// work.
func (m *placementModel) drawTask(id structs.TaskID, k *workKind) (work, size float64) {
	number, _, _ := strings.Cut(string(id)[len(k.name)+1:], "-")
	i, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	h := uint64(i)
	for _, c := range k.name {
		h = h*131 + uint64(c)
	}
	rng := rand.New(rand.NewPCG(m.seed, h))
	work = k.work.Seconds() * math.Exp(rng.NormFloat64()*k.sigma-k.sigma*k.sigma/2)
	return work, math.Exp(rng.NormFloat64() * usageNoise)
}

func (x *modelWorker) find(id structs.TaskID) *modelRun {
	for _, r := range x.runs {
		if r.task == id {
			return r
		}
	}
	return nil
}

// begin adds a run and records its first start.
func (x *modelWorker) begin(id structs.TaskID, row string) {
	m := x.m
	k := m.kinds[row]
	work, size := m.drawTask(id, k)
	if _, ok := m.left[id]; !ok {
		m.left[id] = work
	}
	x.runs = append(x.runs, &modelRun{task: id, kind: k, startedAt: m.now, share: 1, size: size})
	if at, ok := m.arrived[id]; ok && m.first[id] == 0 {
		m.first[id] = m.now
		if k.importance == structs.ImportanceUrgent && k.kind == structs.KindBatch {
			m.figures.urgent = append(m.figures.urgent, m.now-at)
		}
	}
}

// progress returns the completed share of a batch run, 0 to 1.
func (x *modelWorker) progress(id structs.TaskID) float64 {
	r := x.find(id)
	if r == nil || r.kind.kind == structs.KindService {
		return 0
	}
	work, _ := x.m.drawTask(id, r.kind)
	return 1 - x.m.left[id]/work
}

func (x *modelWorker) throttle(id structs.TaskID, share float64) {
	if r := x.find(id); r != nil {
		r.share = share
	}
}

// stopped removes a run and counts the work that its end lost.
func (x *modelWorker) stopped(id structs.TaskID, state structs.RunState) {
	r := x.find(id)
	if r == nil {
		x.m.figures.failed++
		return
	}
	for i, y := range x.runs {
		if y == r {
			x.runs = append(x.runs[:i], x.runs[i+1:]...)
			break
		}
	}
	if state == structs.RunSucceeded || r.kind.kind == structs.KindService {
		return
	}
	x.m.figures.evictions++
	if !r.kind.savesProgress || state != structs.RunCheckpointed {
		work, _ := x.m.drawTask(id, r.kind)
		x.m.figures.lost += work - x.m.left[id]
		x.m.left[id] = work
	}
}

// tick advances all runs to now and returns the completed batch tasks by worker.
func (m *placementModel) tick(now time.Duration) map[int][]structs.TaskID {
	m.now = now
	demand, peak := m.d.demand(now)
	replicas := make(map[string]float64)
	for _, x := range m.workers {
		for _, r := range x.runs {
			replicas[r.kind.name]++
		}
	}
	done := make(map[int][]structs.TaskID)
	for i, x := range m.workers {
		done[i] = x.tick(demand, peak, replicas)
	}
	return done
}

// tick advances the runs of one worker and returns the completed batch tasks.
func (x *modelWorker) tick(demand float64, peak bool, replicas map[string]float64) (done []structs.TaskID) {
	m := x.m
	total := 0.0
	used := make([]float64, len(x.runs))
	batchShares := make(map[string]float64) // batch tasks by row, each weighted by its processor share
	for i, r := range x.runs {
		if k := r.kind; k.kind == structs.KindService {
			used[i] = k.idleCores + (k.fullCores-k.idleCores)*demand*float64(k.count)/replicas[k.name]
		} else {
			used[i] = k.fullCores * r.size * r.share
			batchShares[k.name] += r.share
		}
		total += used[i]
	}
	load := total / x.cores
	m.figures.used += min(total, x.cores) * modelTick.Seconds()
	names := make([]string, 0, len(batchShares))
	for name := range batchShares {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, r := range x.runs {
		k := r.kind
		factor := 0.0
		for _, name := range names {
			n := batchShares[name]
			if name == k.name {
				n = max(0, n-r.share)
			}
			factor += n * k.slowedBy[name]
		}
		factor = (1 + factor*min(load*load, 1)) * max(load, 1)
		s := modelSample{at: m.now, used: structs.Resources{MilliCores: int64(1000 * used[i] / max(load, 1)), MemoryMB: k.memoryMB}}
		if k.kind == structs.KindService {
			m.figures.observe(factor, factor > k.target, peak, demand*float64(k.count)/replicas[k.name])
			s.latency = k.base * factor * (1 + latencyNoise*m.rng.NormFloat64())
		} else {
			m.figures.throttledWork += k.fullCores * r.size * (1 - r.share) * modelTick.Seconds()
			if m.left[r.task] -= modelTick.Seconds() * r.share / factor; m.left[r.task] <= 0 {
				work, _ := m.drawTask(r.task, k)
				m.figures.finished++
				m.figures.work += work * k.fullCores
				done = append(done, r.task)
			}
		}
		r.samples = append(r.samples, s)
		if len(r.samples) > int(usageLag/modelTick)+1 {
			r.samples = r.samples[1:]
		}
	}
	return done
}

// usage returns the measurement that a worker reports now, which is usageLag old.
func (x *modelWorker) usage(r *fakeRun) structs.UsageSample {
	y := x.find(r.ref.Task)
	if y == nil || len(y.samples) <= int(usageLag/modelTick) {
		return structs.UsageSample{AgeMS: time.Hour.Milliseconds()}
	}
	s := y.samples[0]
	return structs.UsageSample{AgeMS: (x.m.now - s.at).Milliseconds(), Used: s.used, LatencyMS: s.latency}
}

// placementFigures are the results of one run.
type placementFigures struct {
	latency                       map[int]float64 // number of calls by slowdown in percent
	calls, peakCalls, missedCalls float64
	finished                      int
	work                          float64 // finished batch work, processor seconds
	used, throttledWork           float64 // processor seconds in use, and withheld from batch by throttling
	evictions, failed             int
	lost                          float64 // seconds of work
	urgent                        []time.Duration
	waiting                       int // urgent tasks that never started
	length                        time.Duration
}

// observe counts calls at a slowdown factor; overTarget tells whether they missed
// the latency target.
func (f *placementFigures) observe(factor float64, overTarget, peak bool, calls float64) {
	f.latency[int(factor*100)] += calls
	f.calls += calls
	if peak {
		f.peakCalls += calls
		if overTarget {
			f.missedCalls += calls
		}
	}
}

// quantile returns the slowdown that a share q of the calls does not exceed.
func (f *placementFigures) quantile(q float64) float64 {
	keys := make([]int, 0, len(f.latency))
	for k := range f.latency {
		keys = append(keys, k)
	}
	sort.Ints(keys)
	sum := 0.0
	for _, k := range keys {
		if sum += f.latency[k]; sum >= q*f.calls {
			return float64(k) / 100
		}
	}
	return 0
}

// misses returns the share of calls at the demand peak that missed the latency
// target.
func (f *placementFigures) misses() float64 { return f.missedCalls / f.peakCalls }

// throughput returns the finished batch work in processor hours per hour.
func (f *placementFigures) throughput() float64 { return f.work / f.length.Seconds() }

// slowestUrgent returns the longest time from the arrival of an urgent task to
// its start.
func (f *placementFigures) slowestUrgent() (worst time.Duration) {
	for _, d := range f.urgent {
		worst = max(worst, d)
	}
	return worst
}

func (f *placementFigures) String() string {
	late := 0
	for _, d := range f.urgent {
		if d > urgentTarget {
			late++
		}
	}
	return fmt.Sprintf("factor p50 %.2f p99 %.2f p99.9 %.2f, peak misses %.2f%%; batch %.0f cores of finished work, %.0f tasks/h, %.0f in use, %.0f withheld by throttling, evicted %d, lost %.0f min, failed starts %d; urgent max %v, late %d of %d, waiting %d",
		f.quantile(0.5), f.quantile(0.99), f.quantile(0.999), 100*f.misses(), f.throughput(), float64(f.finished)/f.length.Hours(), f.used/f.length.Seconds(), f.throttledWork/f.length.Seconds(),
		f.evictions, f.lost/60, f.failed, f.slowestUrgent().Round(10*time.Millisecond), late, len(f.urgent), f.waiting)
}
