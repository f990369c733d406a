package call

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt that makes no progress: the headers must arrive
// within the timeout of the DispatchCall, and each later part within the limit set
// by reset. The total duration of a streamed answer is not limited here; the
// reducer ends it with CancelDispatch.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
	fired atomic.Bool
}

func newWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{limit: limit}
	w.timer = time.AfterFunc(limit, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// reset restarts the timer: the target's next bytes must arrive within limit.
func (w *watchdog) reset(limit time.Duration) {
	w.limit = limit
	w.timer.Reset(limit)
}

// pause stops the timer while bytes are written to the caller.
func (w *watchdog) pause() { w.timer.Stop() }

func (w *watchdog) stop() { w.timer.Stop() }

// describe returns the text of an attempt's error, or the limit that the attempt
// exceeded.
func (w *watchdog) describe(err error) string {
	if w.fired.Load() {
		return fmt.Sprintf("no answer within %v", w.limit)
	}
	return strings.ToValidUTF8(err.Error(), "?")
}
