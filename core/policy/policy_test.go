package policy

import (
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

func cores(n int64) structs.Resources {
	return structs.Resources{MilliCores: 1000 * n, MemoryMB: 100 * n}
}

// TestFilter guards against a task that is placed although one of the reasons to
// refuse it holds, or refused although none does.
func TestFilter(t *testing.T) {
	ok := Candidate{Capacity: cores(8), Committed: cores(4), Accepting: true, Tasks: 1}
	with := func(change func(*Candidate)) Candidate {
		c := ok
		change(&c)
		return c
	}
	batch := Demand{Kind: structs.KindBatch, Request: cores(4)}
	for _, c := range []struct {
		name string
		d    Demand
		c    Candidate
		want Refusal
	}{
		{"exact fit", batch, ok, Fits},
		{"not accepting", batch, with(func(c *Candidate) { c.Accepting = false }), NotAccepting},
		{"on trial with a task", batch, with(func(c *Candidate) { c.OnTrial = true }), OnTrial},
		{"on trial without tasks", batch, with(func(c *Candidate) { c.OnTrial, c.Tasks = true, 0 }), Fits},
		{"batch throttled for a service", batch, with(func(c *Candidate) { c.BatchThrottled = true }), ThrottledForService},
		{"urgent work may start where batch is throttled", Demand{Kind: structs.KindBatch, Request: cores(4), Urgent: true}, with(func(c *Candidate) { c.BatchThrottled = true }), Fits},
		{"on trial without tasks, urgent", Demand{Kind: structs.KindBatch, Request: cores(4), Urgent: true}, with(func(c *Candidate) { c.OnTrial, c.Tasks = true, 0 }), OnTrial},
		{"reserved for more important work", batch, with(func(c *Candidate) { c.Reserved = true }), ReservedForOthers},
		{"a service may start where batch is throttled", Demand{Kind: structs.KindService, Request: cores(4)}, with(func(c *Candidate) { c.BatchThrottled = true }), Fits},
		{"failed there, others untried", batch, with(func(c *Candidate) { c.FailedHere, c.OthersUntried = true, true }), FailedBefore},
		{"processors", Demand{Kind: structs.KindBatch, Request: structs.Resources{MilliCores: 4001}}, ok, NoProcessors},
		{"memory", Demand{Kind: structs.KindBatch, Request: structs.Resources{MemoryMB: 401}}, ok, NoMemory},
		{"accelerators", Demand{Kind: structs.KindBatch, Request: structs.Resources{Accelerators: 1}}, ok, NoAccelerators},
	} {
		if got := Filter(c.d, c.c); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// TestScore guards the order of preferences between workers that can take a task.
func TestScore(t *testing.T) {
	empty := Candidate{Capacity: cores(8), Accepting: true}
	full := Candidate{Capacity: cores(8), Committed: cores(6), Accepting: true, Tasks: 3}
	batch, service := Demand{Kind: structs.KindBatch, Request: cores(1)}, Demand{Kind: structs.KindService, Request: cores(1)}
	if Score(batch, full) <= Score(batch, empty) {
		t.Error("batch must fill workers up")
	}
	if Score(service, empty) <= Score(service, full) {
		t.Error("a service must prefer free capacity")
	}
	zone, interfered, failed := empty, empty, full
	zone.SameZone, interfered.Interference, failed.FailedHere = 1, 0.5, true
	if Score(service, full) <= Score(service, zone) {
		t.Error("spreading over zones must count more than free capacity")
	}
	if Score(batch, interfered) >= Score(batch, empty) || Score(batch, failed) >= Score(batch, interfered) {
		t.Error("interference and failures must count against a worker")
	}
}

// TestVictims guards the choice of tasks to evict: the least important first,
// never more than needed, nearly done and previously evicted tasks last, newly
// started ones never. It also guards the rate limit on evictions.
func TestVictims(t *testing.T) {
	v := func(id structs.TaskID, n int64) Victim {
		return Victim{Task: id, Request: cores(n), RunningFor: time.Minute}
	}
	nearly, before, fresh, normal := v("nearly", 4), v("before", 4), v("fresh", 4), v("normal", 4)
	nearly.Progress, before.Evictions, fresh.RunningFor, normal.Importance = 0.9, 1, time.Second, structs.ImportanceNormal
	for _, c := range []struct {
		name    string
		need    int64
		free    int64
		running []Victim
		want    []structs.TaskID
	}{
		{"one is enough", 4, 0, []Victim{v("b", 4), v("a", 4)}, []structs.TaskID{"a"}},
		{"a task that is not needed is kept", 4, 0, []Victim{v("a", 1), v("b", 4)}, []structs.TaskID{"b"}},
		{"not enough", 9, 0, []Victim{v("a", 4), v("b", 4)}, nil},
		{"newly started tasks stay", 4, 0, []Victim{fresh}, nil},
		{"importance and progress outweigh an earlier eviction", 4, 0, []Victim{normal, nearly, before}, []structs.TaskID{"before"}},
		{"nearly done goes last", 4, 0, []Victim{nearly, v("x", 4)}, []structs.TaskID{"x"}},
		{"free capacity counts", 5, 1, []Victim{v("a", 4)}, []structs.TaskID{"a"}},
	} {
		got, _ := ChooseVictims(cores(c.need), cores(c.free), c.running)
		if len(got) != len(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
			continue
		}
		for i := range got {
			if got[i].Task != c.want[i] {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
			}
		}
	}
	var b EvictionBudget
	taken := 0
	for range 100 {
		if b.Take(time.Second, 1) {
			taken++
		}
	}
	if taken != evictionBurst || !b.Take(2*time.Second, 1) {
		t.Errorf("%d evictions at one moment, want %d and more later", taken, evictionBurst)
	}
}

// TestSize guards against sizes that are learned too early, below the usage, or
// below what a service declares.
func TestSize(t *testing.T) {
	var z Size
	declared := cores(8)
	for i := range warmUpSamples + sizeSamples {
		if got := z.Reserve(declared, structs.KindBatch); got != declared {
			t.Fatalf("after %d samples: %+v", i, got)
		}
		z.Learn(cores(2), i)
	}
	if got := z.Reserve(declared, structs.KindBatch); got.MilliCores != 2400 || got.MemoryMB != 250 {
		t.Errorf("learned %+v", got)
	}
	if got := z.Reserve(declared, structs.KindService); got != declared {
		t.Errorf("a service gets %+v, less than declared", got)
	}
	z.Learn(cores(12), 20)
	if got := z.Reserve(declared, structs.KindBatch); got.MilliCores < 12000 || got.MemoryMB < 1500 {
		t.Errorf("a peak of 12 cores is not covered: %+v", got)
	}
}

// TestInterference guards against a slowdown that is attributed to the wrong
// neighbour: it belongs to the one that is present only when the slowdown is, not
// to the one that is always present.
func TestInterference(t *testing.T) {
	m := NewInterference()
	for range 200 {
		m.Learn("portal", []string{"quiet", "noisy"}, 1, 2)
		m.Learn("portal", []string{"quiet"}, 1, 1)
	}
	if noisy, quiet := m.Excess("portal", "noisy", 1), m.Excess("portal", "quiet", 1); noisy < 0.8 || quiet > 0.2 {
		t.Errorf("excess by the noisy neighbour %.2f, by the quiet one %.2f; want at least 0.8 and at most 0.2", noisy, quiet)
	}
	if m.Excess("portal", "noisy", 0) != 0 || m.Mutual("noisy", []string{"portal"}, 1) < 0.8 {
		t.Error("levels must be learned separately, and Mutual must include the slowdown caused as well as suffered")
	}
}

// TestThrottleSteps guards against throttling batch because of an outlier or of a
// measurement from before the last step, and against releasing it at once.
func TestThrottleSteps(t *testing.T) {
	var c BatchThrottle
	s := time.Second
	for i, x := range []struct {
		now, measuredAt time.Duration
		ratio           float64
		want            ThrottleStep
	}{
		{1 * s, 1 * s, 2, ThrottleHold}, // one outlier
		{2 * s, 2 * s, 0.5, ThrottleHold},
		{3 * s, 3 * s, 2, ThrottleHold},
		{4 * s, 4 * s, 2, ThrottleRaise},
		{6 * s, 5 * s, 2, ThrottleHold}, // from before the step took effect
		{7 * s, 7 * s, 2, ThrottleHold},
		{8 * s, 8 * s, 2, ThrottleRaise},
		{11 * s, 11 * s, 2, ThrottleHold},
		{12 * s, 12 * s, 2, ThrottleCheckpoint},
		{15 * s, 15 * s, 0.5, ThrottleHold},
		{20 * s, 20 * s, 0.8, ThrottleHold}, // between the thresholds: the period of low latency starts again
		{21 * s, 21 * s, 0.5, ThrottleHold},
		{30 * s, 30 * s, 0.5, ThrottleHold},
		{31 * s, 31 * s, 0.5, ThrottleRelease},
		{34 * s, 34 * s, 0.5, ThrottleHold},
		{44 * s, 44 * s, 0.5, ThrottleRelease},
	} {
		if got := c.Observe(x.now, x.measuredAt, x.ratio); got != x.want {
			t.Errorf("step %d at %v: %d, want %d", i, x.now, got, x.want)
		}
	}
	if c.Pressure != PressureNone {
		t.Errorf("pressure %d at the end", c.Pressure)
	}
}

// TestWorkerHealth guards against quarantining a worker for the failures of one job,
// and against trying a failing worker again at a constant rate.
func TestWorkerHealth(t *testing.T) {
	var health WorkerHealth
	for range 10 {
		if health.Failed("one") {
			t.Fatal("the worker is quarantined for the failures of one job")
		}
	}
	if health.Failed("two") || health.GoodStanding() || !health.Failed("three") {
		t.Error("failures of three different jobs must quarantine a worker, failures of two must not")
	}
	health.Quarantine(0)
	if health.EndPause(firstQuarantine-1) || !health.EndPause(firstQuarantine) || !health.OnTrial {
		t.Error("a trial must start when the pause is over, and not before")
	}
	if !health.Failed("one") {
		t.Error("a failed trial must quarantine the worker again")
	}
	health.Quarantine(time.Hour)
	if health.QuarantinedUntil != time.Hour+2*firstQuarantine {
		t.Errorf("second pause %v", health.QuarantinedUntil-time.Hour)
	}
	if QuarantineLimit(8) != 2 || QuarantineLimit(3) != 0 {
		t.Error("at most a quarter of the workers may be quarantined")
	}
}

// TestRank guards against waiting work that is placed before work that is more
// important, must start earlier, or is shorter.
func TestRank(t *testing.T) {
	row := func(name string, i structs.Importance, deadline, runTime int64) Rank {
		return NewRank(structs.SheetRow{Name: name, Kind: structs.KindBatch, Importance: i, DeadlineUnixMS: deadline}, runTime)
	}
	order := []Rank{
		row("z", structs.ImportanceUrgent, 0, 100), row("y", structs.ImportanceLow, 10_000, 6_000), // must start by 1 s
		row("x", structs.ImportanceLow, 5_000, 1_000), // by 3.5 s
		row("a", structs.ImportanceLow, 0, 10), row("b", structs.ImportanceLow, 0, 10), row("0", structs.ImportanceLow, 0, 20),
	}
	for i := range order {
		for j := range order {
			if got := order[i].Before(order[j]); got != (i < j) {
				t.Errorf("%s before %s: %v", order[i].Name, order[j].Name, got)
			}
		}
	}
}

// TestResume guards against evicting tasks that start from the beginning when
// tasks that resume from their checkpoint could be evicted instead.
func TestResume(t *testing.T) {
	var r ResumeLoss
	r.Learn(0.01, 0) // too early to tell
	if r.Expected() != 0 {
		t.Errorf("expected loss %.2f, want 0", r.Expected())
	}
	r.Learn(0.6, 0)
	r.Learn(0.4, 0.01)
	restarts, resumes := Victim{Task: "a", Progress: 0.3, ExpectedLoss: r.Expected()}, Victim{Task: "b", Progress: 0.7}
	if EvictionCost(restarts) <= EvictionCost(resumes) {
		t.Errorf("cost %.2f of evicting a task that restarts, %.2f of one that resumes", EvictionCost(restarts), EvictionCost(resumes))
	}
	for range 8 {
		r.Learn(0.5, 0.52)
	}
	if r.Expected() > 0.01 {
		t.Errorf("expected loss %.2f after resumptions without loss, want at most 0.01", r.Expected())
	}
}

// TestUnknownSpreads guards against placing the first tasks of a row on one
// worker before their resource usage is known.
func TestUnknownSpreads(t *testing.T) {
	empty := Candidate{Capacity: cores(16), Accepting: true}
	beside := Candidate{Capacity: cores(16), Committed: cores(8), Accepting: true, SameWorker: 2}
	d := Demand{Kind: structs.KindBatch, Request: cores(4), SizeUnknown: true}
	if Score(d, beside) >= Score(d, empty) {
		t.Error("tasks of unknown size are packed")
	}
	d.SizeUnknown = false
	if Score(d, beside) <= Score(d, empty) {
		t.Error("tasks of known size are not packed")
	}
}
