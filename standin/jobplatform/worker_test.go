package jobplatform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const testTask = "00000000000000aa.0.0.0"

// post sends a command to the worker and fails the test if it is refused.
func post(t *testing.T, w *Worker, path, body string) {
	t.Helper()
	if answer := send(w, path, body); answer.Code != http.StatusOK {
		t.Fatalf("%s: status %d %s", path, answer.Code, answer.Body)
	}
}

// send sends a command to the worker. The answer has status 0 if the worker sends none.
func send(w *Worker, path, body string) (answer *httptest.ResponseRecorder) {
	r := httptest.NewRequest(http.MethodPost, "/tamarackstep/"+path, strings.NewReader(body))
	r.Header.Set("X-Tamarackstep-Expect-Instance", w.ID)
	answer = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			answer.Code = 0
		}
	}()
	w.ServeHTTP(answer, r)
	return answer
}

// bootWorker returns a worker that is up, whose checker knows the job of testTask.
func bootWorker(t *testing.T) *Worker {
	t.Helper()
	checker := NewChecker()
	w := NewWorker("w00", "127.0.0.1:1", "svc", "r0", 1000, 1, NewStore(), checker)
	w.Boot()
	t.Cleanup(w.Crash)
	checker.JobSubmitted("00000000000000aa", JobRecord{
		Spec: `{"work_ms":50}`, TaskCounts: []int{1}, Dependencies: [][]int{nil}, MilliCores: []int64{100}, MaxAttempts: 3,
	})
	return w
}

// startCommand returns a command that starts a run with a deadline that no clock of an
// incarnation reaches.
func startCommand(run int) string {
	return fmt.Sprintf(`{"Task":%q,"Run":%d,"Spec":"{\"work_ms\":50}","DeadlineMs":%d,"FencingToken":1}`, testTask, run, 2*maxClockOrigin.Milliseconds())
}

// Guards against a stand-in that is kinder than the protocol: a command without an answer may
// be executed seconds later, by the next incarnation too if so set.
func TestLateCommandsOfFormerIncarnation(t *testing.T) {
	for _, outlive := range []bool{true, false} {
		t.Run(fmt.Sprintf("outlive %t", outlive), func(t *testing.T) {
			t.Parallel()
			w := bootWorker(t)
			w.SetFaults(WorkerFaults{LateCommandRate: 1, LateCommandsOutlive: outlive})
			if answer := send(w, "run-start", startCommand(1)); answer.Code != 0 {
				t.Fatalf("status %d, want no answer", answer.Code)
			}
			w.Crash()
			w.Boot()
			if outlive {
				waitFor(t, func() bool { return w.checker.Starts() == 1 })
				return
			}
			time.Sleep(maxCommandDelay + time.Second)
			if starts := w.checker.Starts(); starts != 0 {
				t.Errorf("%d starts by the next incarnation", starts)
			}
		})
	}
}

// waitFor fails the test if a condition does not hold in time.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 4*maxCommandDelay {
			t.Fatal("the condition does not hold in time")
		}
	}
}

// Guards against a worker that forgets a run when another one of the same task is started
// there: both run, until each is stopped.
func TestTwoRunsOfOneTask(t *testing.T) {
	w := bootWorker(t)
	w.SetFaults(WorkerFaults{StallRuns: true})
	post(t, w, "run-start", startCommand(1))
	post(t, w, "run-start", startCommand(2))
	post(t, w, "run-stop", fmt.Sprintf(`{"Task":%q,"Run":1,"FencingToken":1}`, testTask))
	waitFor(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.runs) == 1 && w.runs[runKey{testTask, 2}] != nil
	})
	if violations := w.checker.Violations(); len(violations) != 1 {
		t.Errorf("violations %q, want one of two runs at once", violations)
	}
}

// Guards against a worker whose runs lose or gain work when they begin or cease to stall.
func TestStalledRunsMakeNoProgress(t *testing.T) {
	w := bootWorker(t)
	r := &taskRun{task: testTask, run: 1, workBefore: time.Second, speedSince: time.Now().Add(-time.Second), speedPercent: 100}
	w.mu.Lock()
	w.runs[runKey{testTask, 1}] = r
	w.mu.Unlock()
	work := func() time.Duration {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.workDone(r)
	}
	w.SetFaults(WorkerFaults{StallRuns: true})
	atStall := work()
	w.mu.Lock()
	r.speedSince = r.speedSince.Add(-time.Minute) // a stall of a minute
	w.mu.Unlock()
	w.SetFaults(WorkerFaults{})
	if atEnd := work(); atStall < 2*time.Second || atEnd > atStall+30*time.Second {
		t.Errorf("work %v when the stall begins and %v when it ends, want 2 s and little more", atStall, atEnd)
	}
}

// Guards against a worker that refuses a command and executes it.
func TestRefusedCommandIsNotExecuted(t *testing.T) {
	w := bootWorker(t)
	w.SetFaults(WorkerFaults{RefusalRate: 1})
	if code := send(w, "run-start", startCommand(1)).Code; code != http.StatusTooManyRequests && code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 429 or 503", code)
	}
	if starts := w.checker.Starts(); starts != 0 {
		t.Errorf("%d starts after a refusal", starts)
	}
}

// Guards against a worker whose leases last longer or shorter than its settings say.
func TestLeaseEndsWithMaxLease(t *testing.T) {
	w := bootWorker(t)
	w.MaxLease = 10 * time.Second
	post(t, w, "run-start", startCommand(1))
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := w.leaseEndMS - w.clockMS(); left < 9000 || left > 10_000 {
		t.Errorf("the lease lasts %d ms longer, want 10000", left)
	}
}

// Guards against a violation that is reported although the platform's rules allow the
// start: an end that is acknowledged after the worker's lease has expired does not count
// as noted, also when nothing ran at the expiry. An end that is acknowledged before does.
func TestAcknowledgementAfterExpiryIsNotNoted(t *testing.T) {
	for name, c := range map[string]struct {
		leaseMS    int64
		violations int
	}{"after the expiry": {300, 0}, "before the expiry": {60_000, 1}} {
		t.Run(name, func(t *testing.T) {
			checker := NewChecker()
			w := NewWorker("w00", "127.0.0.1:1", "svc", "r0", 1000, 1, NewStore(), checker)
			w.Boot()
			t.Cleanup(w.Crash)
			checker.JobSubmitted("00000000000000aa", JobRecord{
				Spec: `{"work_ms":50}`, TaskCounts: []int{1}, Dependencies: [][]int{nil}, MilliCores: []int64{100}, MaxAttempts: 3,
			})
			start := func(run, leaseMS int64) {
				w.mu.Lock()
				leaseEnd := w.clockMS() + leaseMS
				w.mu.Unlock()
				post(t, w, "run-start", fmt.Sprintf(`{"Task":%q,"Run":%d,"Spec":"{\"work_ms\":50}","DeadlineMs":%d,"FencingToken":1}`, testTask, run, leaseEnd))
			}
			start(1, c.leaseMS)
			time.Sleep(600 * time.Millisecond) // twice the shorter lease
			post(t, w, "hold", `{"FencingToken":1,"AckCursor":1}`)
			start(2, 120_000)
			if got := checker.Violations(); len(got) != c.violations {
				t.Errorf("violations %v, want %d", got, c.violations)
			}
		})
	}
}
