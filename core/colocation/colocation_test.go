package colocation

import (
	"math"
	"testing"
	"time"
)

// newSharedWorker returns a worker of 16 cores with a serving task at half of its
// utilization and best-effort tasks of 2 cores each.
func newSharedWorker(bestEffort ...*BestEffort) *Worker {
	m := NewModel([]BaseTail{{"web", 10}}, nil)
	w := &Worker{Model: m, MilliCores: 16000}
	w.AddServing(&Serving{Image: m.RegisterImage("web"), TargetMS: 100, TailMS: 20, Running: true, Ready: true, Load: &Load{utilization: 0.5, peak: 0.5, variance: 0.001, updatedAt: 1}})
	for _, b := range bestEffort {
		b.Image, b.Requested, b.Used = m.RegisterImage("batch"), 2000, 2000
		w.AddBestEffort(b)
	}
	return w
}

func anyMovable(int) bool { return true }

// TestUnseenPairTakesEstimateOfImage guards against a heavy image that is found out once
// for every serving image.
func TestUnseenPairTakesEstimateOfImage(t *testing.T) {
	m := NewModel(nil, nil)
	heavy := m.RegisterImage("heavy")
	for _, serving := range []string{"a", "b", "c"} {
		m.Set(m.RegisterImage(serving), heavy, Pressure{2.5, 0.01})
	}
	p := m.PressureOn(m.RegisterImage("unseen"), heavy)
	if p.Value < 1.5 || p.Variance >= priorVariance || p.Variance < pairVariance {
		t.Errorf("estimate %+v of an image with pressure 2.5 on three others", p)
	}
	if p := m.PressureOn(m.RegisterImage("a"), m.RegisterImage("new")); math.Abs(p.Value-priorPressure) > 1e-9 {
		t.Errorf("estimate %+v of an image that nobody has seen", p)
	}
}

// TestNearlyDoneTaskIsThrottled guards against stops that throw away more work than throttling costs.
func TestNearlyDoneTaskIsThrottled(t *testing.T) {
	for _, c := range []struct {
		name string
		task BestEffort
		move bool
	}{
		{"nearly done", BestEffort{Saves: true, Worked: 2 * time.Second, Remaining: 200 * time.Millisecond}, false},
		{"just started", BestEffort{Saves: true, Worked: 200 * time.Millisecond, Remaining: 5 * time.Second}, true},
		{"its work is not saved", BestEffort{Worked: 6 * time.Second, Remaining: 3 * time.Second}, false},
	} {
		w := newSharedWorker(&c.task)
		w.Model.Set(w.Serving[0].Image, c.task.Image, Pressure{4, 0.01})
		w.Serving[0].Load.utilization = 0.6
		relief := w.Relieve(FullSpeed, 0, anyMovable)[0]
		if relief.Move != c.move || !c.move && (relief.SpeedLimit == 0 || relief.SpeedLimit > 60) {
			t.Errorf("%s: %+v, want it moved: %v", c.name, relief, c.move)
		}
	}
}

// TestHeaviestTaskIsSlowedDown guards against slowing down tasks that disturb nobody.
func TestHeaviestTaskIsSlowedDown(t *testing.T) {
	w := newSharedWorker(&BestEffort{}, &BestEffort{})
	w.BestEffort[1].Image = w.Model.RegisterImage("noisy")
	w.Model.Set(w.Serving[0].Image, w.BestEffort[0].Image, Pressure{0.2, 0.01})
	w.Model.Set(w.Serving[0].Image, w.BestEffort[1].Image, Pressure{3.5, 0.01})
	relief := w.Relieve(FullSpeed, 0, nil)
	if relief[0].SpeedLimit != FullSpeed || relief[1].SpeedLimit == 0 || relief[1].SpeedLimit == FullSpeed {
		t.Errorf("%+v, want only the noisy task slowed down", relief)
	}
}

// TestWorkerWithRoomAtPeakIsPreferred guards against starts at the low point of a load that
// swings while a worker with a steady load has room.
func TestWorkerWithRoomAtPeakIsPreferred(t *testing.T) {
	steady, swinging := newSharedWorker(), newSharedWorker()
	swinging.Serving[0].Load.utilization, swinging.Serving[0].Load.peak = 0.3, 0.8
	image := steady.Model.RegisterImage("batch")
	swinging.Model.RegisterImage("batch")
	_, headroom := steady.Tolerates(image, 2000)
	tolerated, atPeak := swinging.Tolerates(image, 2000)
	if !tolerated || atPeak >= headroom {
		t.Errorf("headroom %.2f at a steady load, %.2f at the peak of one that swings", headroom, atPeak)
	}
}

// TestOverloadDoesNotLowerEstimates guards against estimates that fall while a serving task
// is overloaded, so that its worker takes more.
func TestOverloadDoesNotLowerEstimates(t *testing.T) {
	w := newSharedWorker(&BestEffort{}, &BestEffort{})
	w.Model.Set(w.Serving[0].Image, w.BestEffort[0].Image, Pressure{3.5, 0.3})
	w.Serving[0].TailMS = 400 // a utilization of 0.975 or more; 1.375 is expected
	w.Observe(time.Second)
	if p := w.Model.PressureOn(w.Serving[0].Image, w.BestEffort[0].Image); p.Value < 3.5 || w.Serving[0].Load.utilization < 0.5 {
		t.Errorf("pressure %v, load %v after a tail of 400 ms", p.Value, w.Serving[0].Load.utilization)
	}
}

// TestGuardPausesInTime guards against best-effort tasks that work on beside a target that is
// missed, whatever the estimates say, and against a limit that stays after its cause has gone.
func TestGuardPausesInTime(t *testing.T) {
	g := NewGuard()
	now := time.Duration(1)
	for ; g.SpeedLimit > 0; now += 700 * time.Millisecond { // a sync that waits, and its way
		g.Update(1.2, now)
	}
	if now > 3*time.Second {
		t.Errorf("paused after %v of a missed target", now)
	}
	cleared := now
	for ; g.SpeedLimit < FullSpeed; now += 700 * time.Millisecond {
		g.Update(0.8, now)
	}
	if now-cleared > 4*time.Second {
		t.Errorf("full speed %v after the target is met", now-cleared)
	}
}
