package admission

import (
	"testing"
	"time"
)

// overloaded returns a report of a shard in which each newcomer would be worthless.
func overloaded() Report {
	r := Report{Measured: time.Minute, Classes: []Class{{Priority: 0, Running: 10_000, Rate: 10_000}, {Priority: 2, Tasks: 500, Running: 30_000, Rate: 30_000}}}
	r.Classes[1].Waiting, r.Classes[1].OnTime[3] = 3_000_000, 3_000_000
	return r
}

func waitingJob(priority int) Demand {
	return Demand{Priority: priority, Work: 20_000, CriticalPath: 2 * time.Second, Stretch: 2, Slack: time.Second, WorthlessFactor: worthless}
}

// TestDecide guards against refusals for which there is no sufficient reason.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		priority int
		change   func(*Report)
		want     Reason
	}{
		"worthless":                {2, func(*Report) {}, ReasonWorthless},
		"urgent":                   {0, func(*Report) {}, ReasonInTime},
		"stale report":             {2, func(r *Report) { r.Age = 4 * time.Second }, ReasonUnknown},
		"report of the future":     {2, func(r *Report) { r.Age = -time.Hour }, ReasonUnknown},
		"new leader":               {2, func(r *Report) { r.Measured = time.Second }, ReasonUnknown},
		"free room":                {2, func(r *Report) { r.RoomFree = true }, ReasonRoomFree},
		"nothing runs":             {2, func(r *Report) { r.Classes = r.Classes[1:]; r.Classes[0].Rate, r.Classes[0].Running = 0, 0 }, ReasonUnknown},
		"no task has ended yet":    {2, func(r *Report) { r.Classes[1].Rate = 0 }, ReasonWorthless},
		"larger jobs wait":         {2, func(r *Report) { r.Classes[1].OnTime = BySize{9: 3_000_000} }, ReasonInTime},
		"late jobs wait":           {2, func(r *Report) { r.Classes[1].OnTime = BySize{} }, ReasonInTime},
		"half full queue":          {2, func(r *Report) { r.Classes[1].Tasks = 50_000 }, ReasonQueueFull},
		"half full queue, urgent":  {0, func(r *Report) { r.Classes[1].Tasks = 50_000 }, ReasonInTime},
		"full queue, urgent":       {0, func(r *Report) { r.Classes[1].Tasks = 100_000 }, ReasonQueueFull},
		"higher priorities wait":   {2, func(r *Report) { r.Classes[0].Waiting, r.Classes[1].OnTime = 3_000_000, BySize{} }, ReasonWorthless},
		"room of lower priorities": {1, func(r *Report) { r.Classes[1].OnTime = BySize{} }, ReasonInTime},
	} {
		t.Run(name, func(t *testing.T) {
			r := overloaded()
			c.change(&r)
			if got := Decide(waitingJob(c.priority), []Report{r}, replayLimits); got.Reason != c.want {
				t.Errorf("%v (%+v), want %v", got.Reason, got, c.want)
			}
		})
	}
}

// TestAnyShard guards against a refusal while one shard could serve the job or says nothing.
func TestAnyShard(t *testing.T) {
	free, stale, older := overloaded(), overloaded(), overloaded()
	free.RoomFree, stale.Age, older.Age = true, time.Minute, time.Second
	for name, c := range map[string]struct {
		reports []Report
		want    bool
	}{
		"no shard": {nil, false}, "both overloaded": {[]Report{older, overloaded()}, true},
		"one free": {[]Report{overloaded(), free}, false}, "one stale": {[]Report{overloaded(), stale}, false},
	} {
		if got := Decide(waitingJob(2), c.reports, replayLimits); got.Refused() != c.want || c.want && got.Age != time.Second {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// TestRetryAfter guards against callers that all return at once, too soon, or never.
func TestRetryAfter(t *testing.T) {
	retry := func(waiting Work, random float64) time.Duration {
		r, limits := overloaded(), replayLimits
		r.Classes[1].OnTime[3], limits.RandomFactor = waiting, random
		return Decide(waitingJob(2), []Report{r}, limits).RetryAfter
	}
	// 1,000 core-seconds at 30 cores and a run of a second take 34.3 s, of which the objective allows 5 s.
	if got := retry(1_000_000, 0).Round(time.Second); got != 29*time.Second {
		t.Errorf("%v, want the time until the job would be on time", got)
	}
	if got := retry(1_000_000, 0.9); got <= retry(1_000_000, 0) || got > 3*replayLimits.MaxRetry/2 {
		t.Errorf("%v is not spread", got)
	}
	if got := retry(1_000_000_000, 0); got != replayLimits.MaxRetry {
		t.Errorf("%v, want at most %v", got, replayLimits.MaxRetry)
	}
}

// TestMeter guards against a rate that a pause between large jobs lets fall, and against one
// that outlives its work.
func TestMeter(t *testing.T) {
	var m Meter
	now := time.Duration(0)
	for range 60 {
		now += time.Second
		m.Add(8000, now)
	}
	if got := m.Rate(now + 2*time.Second); got < 6000 || got > 10_000 {
		t.Errorf("rate %.0f of 8000 after a pause of 2 s", got)
	}
	if got := m.Rate(now + 2*time.Minute); got > 1 {
		t.Errorf("rate %.0f after two minutes without work", got)
	}
}

// BenchmarkDecide measures a decision over 64 shards of four priorities. The decision at a
// submission may take 5 µs and must not allocate.
func BenchmarkDecide(b *testing.B) {
	reports := make([]Report, 64)
	for i := range reports {
		reports[i] = overloaded()
		reports[i].Classes = append(reports[i].Classes, Class{Priority: 3}, Class{Priority: 4})
	}
	d := waitingJob(2)
	b.ReportAllocs()
	for b.Loop() {
		if !Decide(d, reports, replayLimits).Refused() {
			b.Fatal("not refused")
		}
	}
}
