package jobplatform

import (
	"strings"
	"testing"
	"time"
)

const (
	testJob   = "00000000000000aa"
	firstTask = testJob + ".0.0.0"
	nextTask  = testJob + ".0.0.1"
	laterTask = testJob + ".0.1.0" // of a step that depends on the first
	testSpec  = `{"work_ms":50}`
)

// scene is a checker with a submitted job and two workers that need no clock.
type scene struct {
	*Checker
	first, second *Worker
}

func newScene(change func(*JobRecord)) *scene {
	checker := NewChecker()
	record := JobRecord{
		Spec: testSpec, TaskCounts: []int{2, 1}, Dependencies: [][]int{nil, {0}}, MilliCores: []int64{400, 400}, MaxAttempts: 2,
	}
	if change != nil {
		change(&record)
	}
	checker.JobSubmitted(testJob, record)
	worker := func(id string) *Worker {
		return NewWorker(id, "127.0.0.1:1", "svc", "r0", 1000, 1, NewStore(), checker)
	}
	return &scene{checker, worker("w00"), worker("w01")}
}

func (s *scene) start(w *Worker, task string, run uint64) { s.RunStarted(w, task, run, testSpec, "") }

// finish starts and ends a run on the first worker.
func (s *scene) finish(task string, run uint64, outcome string) {
	s.start(s.first, task, run)
	s.RunEnded(s.first, task, run, outcome)
}

// Guards against a checker that overlooks what breaks a rule, or reports what the rules
// allow: each rule of the checker has observations that break it and similar ones that do not.
func TestCheckerRules(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*JobRecord)
		observe func(s *scene)
		want    string // start of the only violation; empty: none
	}{
		"two runs at once": {observe: func(s *scene) {
			s.start(s.first, firstTask, 1)
			s.start(s.second, firstTask, 2)
		}, want: "DUPLICATE"},
		"the first of three runs is still active": {observe: func(s *scene) {
			s.start(s.first, firstTask, 1)
			s.RunEnded(s.second, firstTask, 2, "lapsed")
			s.start(s.second, firstTask, 3)
		}, want: "DUPLICATE"},
		"one run after the other": {observe: func(s *scene) {
			s.finish(firstTask, 1, "stopped")
			s.start(s.second, firstTask, 2)
		}},
		"a run after a crash": {observe: func(s *scene) {
			s.start(s.first, firstTask, 1)
			s.RunEnded(s.first, firstTask, 1, "crashed")
			s.start(s.second, firstTask, 2)
		}},
		"start after an acknowledged successful end": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.EndAcknowledged(s.first, firstTask, 1, "done")
			s.start(s.second, firstTask, 2)
		}, want: "DUPLICATE"},
		"start after a successful end that is acknowledged later": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.start(s.second, firstTask, 2)
			s.EndAcknowledged(s.first, firstTask, 1, "done")
		}, want: "DUPLICATE"},
		"start after a successful end that is never acknowledged": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.start(s.second, firstTask, 2)
		}},
		"acknowledged end of the next incarnation": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.first.incarnation++
			s.finish(firstTask, 1, "done")
			s.EndAcknowledged(s.first, firstTask, 1, "done")
		}},
		"start after all attempts": {observe: func(s *scene) {
			for run := uint64(1); run <= 2; run++ {
				s.finish(firstTask, run, "failed")
				s.EndAcknowledged(s.first, firstTask, run, "failed")
			}
			s.start(s.second, firstTask, 3)
		}, want: "ATTEMPTS"},
		"start after all attempts, acknowledged later": {observe: func(s *scene) {
			s.finish(firstTask, 1, "failed")
			s.finish(firstTask, 2, "failed")
			s.start(s.second, firstTask, 3)
			s.EndAcknowledged(s.first, firstTask, 2, "failed")
			s.EndAcknowledged(s.first, firstTask, 1, "failed")
		}, want: "ATTEMPTS"},
		"start after one of two attempts": {observe: func(s *scene) {
			s.finish(firstTask, 1, "failed")
			s.EndAcknowledged(s.first, firstTask, 1, "failed")
			s.start(s.second, firstTask, 2)
		}},
		"persistent task after all attempts": {change: func(j *JobRecord) { j.Persistent = true }, observe: func(s *scene) {
			for run := uint64(1); run <= 2; run++ {
				s.finish(firstTask, run, "failed")
				s.EndAcknowledged(s.first, firstTask, run, "failed")
			}
			s.start(s.second, firstTask, 3)
		}},
		"start before a dependency is done": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.start(s.first, laterTask, 1)
		}, want: "DEPENDENCY"},
		"start after the dependencies": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.finish(nextTask, 1, "done")
			s.start(s.first, laterTask, 1)
		}},
		"start in an evacuated zone": {observe: func(s *scene) {
			s.first.Zone = "z"
			s.ZoneEvacuated("z", 0)
			s.start(s.first, firstTask, 1)
		}, want: "EVACUATED"},
		"start in another zone, within the limit, and after the end": {observe: func(s *scene) {
			s.first.Zone, s.second.Zone = "z", "y"
			s.ZoneEvacuated("y", time.Hour)
			s.ZoneEvacuated("z", 0)
			s.start(s.second, firstTask, 1)
			s.ZoneReturned("z")
			s.start(s.first, nextTask, 1)
		}},
		"start of an unknown job": {observe: func(s *scene) { s.start(s.first, "00000000000000bb.0.0.0", 1) }, want: "UNREQUESTED"},
		"start with another specification": {observe: func(s *scene) {
			s.RunStarted(s.first, firstTask, 1, `{"work_ms":51}`, "")
		}, want: "UNREQUESTED"},
		"start with a checkpoint of another task": {observe: func(s *scene) {
			s.RunStarted(s.first, firstTask, 1, testSpec, nextTask+"@500")
		}, want: "UNREQUESTED"},
		"start with its own checkpoint": {observe: func(s *scene) {
			s.RunStarted(s.first, firstTask, 1, testSpec, firstTask+"@500")
		}},
		"report of a job that nobody submitted": {observe: func(s *scene) { s.CheckUnknownJob("00000000000000bb", "running") }, want: "UNREQUESTED"},
		"no report of a job that nobody submitted": {observe: func(s *scene) {
			s.CheckUnknownJob("00000000000000bb", "")
		}},
		"start after a refusal": {observe: func(s *scene) {
			s.JobRefused(testJob)
			s.start(s.first, firstTask, 1)
		}, want: "REFUSED"},
		"refusal after a start": {observe: func(s *scene) {
			s.start(s.first, firstTask, 1)
			s.JobRefused(testJob)
		}, want: "REFUSED"},
		"start over the capacity": {observe: func(s *scene) {
			s.start(s.first, firstTask, 1)
			s.start(s.first, nextTask, 1)
		}, change: func(j *JobRecord) { j.MilliCores = []int64{600, 400} }, want: "LIMIT"},
		"start within the capacity after an end": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.start(s.first, nextTask, 1)
		}, change: func(j *JobRecord) { j.MilliCores = []int64{600, 400} }},
		"start on a worker without the label": {observe: func(s *scene) {
			s.first.kind = "b"
			s.start(s.first, firstTask, 1)
		}, change: func(j *JobRecord) { j.Labels = []string{"a", ""} }, want: "ROUTE"},
		"start on a worker with the label": {observe: func(s *scene) {
			s.start(s.first, firstTask, 1)
		}, change: func(j *JobRecord) { j.Labels = []string{"a", ""} }},
		"start beside a task of its step": {observe: func(s *scene) {
			s.start(s.first, firstTask, 1)
			s.start(s.first, nextTask, 1)
		}, change: func(j *JobRecord) { j.PerWorker = []int{1, 0} }, want: "ROUTE"},
		"start on another worker than a task of its step": {observe: func(s *scene) {
			s.start(s.first, firstTask, 1)
			s.start(s.second, nextTask, 1)
		}, change: func(j *JobRecord) { j.PerWorker = []int{1, 0} }},
		"accepted job does not exist": {observe: func(s *scene) { s.CheckReportedState(testJob, "", true) }, want: "LOST"},
		"cancelled job does not exist": {observe: func(s *scene) {
			s.CancelSent(testJob)
			s.CheckReportedState(testJob, "", true)
		}},
		"cancelled without a request": {observe: func(s *scene) { s.CheckReportedState(testJob, "cancelled", true) }, want: "LOST"},
		"failed without a failed run": {observe: func(s *scene) { s.CheckReportedState(testJob, "failed", true) }, want: "LOST"},
		"failed after all attempts": {observe: func(s *scene) {
			s.finish(firstTask, 1, "failed")
			s.finish(firstTask, 2, "failed")
			s.CheckReportedState(testJob, "failed", true)
		}},
		"completed with a task that is not done": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.CheckReportedState(testJob, "completed", true)
		}, want: "INCOMPLETE"},
		"completed": {observe: func(s *scene) {
			s.finish(firstTask, 1, "done")
			s.finish(nextTask, 1, "done")
			s.finish(laterTask, 1, "done")
			s.CheckReportedState(testJob, "completed", true)
		}},
		"unreadable state": {observe: func(s *scene) { s.CheckReportedState(testJob, "odd", true) }, want: "INCOMPLETE"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(c.change)
			c.observe(s)
			got := s.Violations()
			switch {
			case c.want == "" && len(got) > 0, c.want != "" && len(got) != 1:
				t.Errorf("violations %q, want %q", got, c.want)
			case c.want != "" && !strings.Contains(got[0], " "+c.want+":"):
				t.Errorf("violation %q, want %s", got[0], c.want)
			}
		})
	}
}

// Guards against a run that counts as settled while an accepted job has not ended, a
// persistent task does not run, or a task of a cancelled job does.
func TestUnsettled(t *testing.T) {
	persistent := func(j *JobRecord) { j.Persistent, j.TaskCounts = true, []int{1} }
	for name, c := range map[string]struct {
		change    func(*JobRecord)
		observe   func(s *scene)
		state     string
		unsettled bool
	}{
		"accepted and running":         {observe: func(s *scene) {}, state: "running", unsettled: true},
		"accepted and completed":       {observe: func(s *scene) {}, state: "completed"},
		"persistent and not running":   {change: persistent, observe: func(s *scene) {}, state: "running", unsettled: true},
		"persistent and running":       {change: persistent, observe: func(s *scene) { s.start(s.first, firstTask, 1) }, state: "running"},
		"cancelled and no task runs":   {observe: func(s *scene) { s.CancelSent(testJob); s.CancelAcknowledged(testJob) }},
		"cancelled while a task runs":  {observe: func(s *scene) { s.start(s.first, firstTask, 1); s.CancelSent(testJob); s.CancelAcknowledged(testJob) }, unsettled: true},
		"cancel without an answer yet": {observe: func(s *scene) { s.start(s.first, firstTask, 1); s.CancelSent(testJob) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(c.change)
			s.JobAccepted(testJob)
			c.observe(s)
			if got := s.Unsettled(func(string) string { return c.state }); len(got) > 0 != c.unsettled {
				t.Errorf("unsettled %q, want any: %t", got, c.unsettled)
			}
		})
	}
}
