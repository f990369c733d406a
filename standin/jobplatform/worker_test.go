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
	r := httptest.NewRequest(http.MethodPost, "/tamarackstep/"+path, strings.NewReader(body))
	r.Header.Set("X-Tamarackstep-Expect-Instance", w.ID)
	answer := httptest.NewRecorder()
	w.ServeHTTP(answer, r)
	if answer.Code != http.StatusOK {
		t.Fatalf("%s: status %d %s", path, answer.Code, answer.Body)
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
