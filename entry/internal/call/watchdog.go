package call

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt that makes no progress: the headers must arrive
// within the timeout of the DispatchCall, and each later part within the timeout set
// by reset. The total duration of a streamed answer is not limited here; the
// reducer ends it with CancelDispatch.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
	fired   atomic.Bool
}

func newWatchdog(timeout time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{timeout: timeout}
	w.timer = time.AfterFunc(timeout, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// reset restarts the timer: the target's next bytes must arrive within timeout.
func (w *watchdog) reset(timeout time.Duration) {
	w.timeout = timeout
	w.timer.Reset(timeout)
}

// pause stops the timer while bytes are written to the caller.
func (w *watchdog) pause() { w.timer.Stop() }

func (w *watchdog) stop() { w.timer.Stop() }

// describe returns the text of an attempt's error, or the timeout that the attempt
// exceeded.
func (w *watchdog) describe(err error) string {
	if w.fired.Load() {
		return fmt.Sprintf("no answer within %v", w.timeout)
	}
	return strings.ToValidUTF8(err.Error(), "?")
}
