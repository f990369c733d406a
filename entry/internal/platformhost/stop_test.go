package platformhost

import (
	"log/slog"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/entry/internal/logging"
	"github.com/tamarackstep/tamarackstep/platform"
)

// TestStopDoesNotWaitForControlLoop guards against a process that outlives its grace
// period because its control loop does not get to the end of the planned stop.
func TestStopDoesNotWaitForControlLoop(t *testing.T) {
	const grace = 2 * time.Second
	s := platform.Settings{Store: "127.0.0.1:1", Bounds: scheduler.Bounds{StopGracePeriod: grace}}
	h := New(s, 0, slog.New(slog.DiscardHandler), logging.NewQueue(1)) // its loop does not run
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	ended := make(chan error, 1)
	go func() { ended <- h.waitForStop(signals, nil, &http.Server{}, &http.Server{}) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the stop ended with %v, want no error", err)
		}
	case <-time.After(grace - LogFlushTimeout(grace)):
		t.Error("the process still runs at the end of its grace period")
	}
}
