package host

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// Errors of Run, which determine the program's exit status.
var (
	ErrUnfinished = errors.New("the planned stop ended with work unfinished")
	ErrKilled     = errors.New("a second signal ended the process at once")
)

const (
	// shutdownTimeout bounds the wait for callers to read the last bytes of
	// responses after the reducer has completed a planned stop.
	shutdownTimeout = 10 * time.Second
	// unfinishedShutdownTimeout is used instead when work is still unfinished
	// after the reducer's own timeout for a planned stop.
	unfinishedShutdownTimeout = 1 * time.Second
)

// Run serves until a planned stop is complete, a second signal arrives, or a
// listener fails. The first signal begins a planned stop.
func (h *Host) Run(signals <-chan os.Signal) error {
	l, err := h.listen()
	if err != nil {
		return err
	}
	return h.runOn(l, signals)
}

// runOn runs the host on open listeners and closes them before it returns.
func (h *Host) runOn(l *listeners, signals <-chan os.Signal) error {
	defer l.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		h.loop.Run(ctx)
	}()
	h.loop.Post(h.started())
	l.serve()
	h.log.Info("host: started", "host", h.settings.Host, "callers", h.settings.CallerListener,
		"operators", h.settings.OperatorListener, "peers", h.settings.PeerListener)
	err := h.waitForStop(l, signals)
	cancel()
	<-loopDone
	return err
}

// waitForStop returns when the process has to exit.
func (h *Host) waitForStop(l *listeners, signals <-chan os.Signal) error {
	var stopStart time.Time // time of the first signal
	for {
		select {
		case s := <-signals:
			if !stopStart.IsZero() {
				h.log.Warn("host: second signal, exiting at once", "signal", s.String(), "calls", h.proxy.InProgress())
				return ErrKilled
			}
			stopStart = time.Now()
			h.proxy.StartDraining()
			h.log.Info("host: planned stop begins", "signal", s.String(), "calls", h.proxy.InProgress())
			// Post blocks while the queue is full, and a second signal must be
			// handled even then.
			go h.loop.Post(control.DrainRequested{})
		case unfinished := <-h.stopped:
			return h.shutdown(l, stopStart, unfinished, signals)
		case err := <-l.failed:
			return err
		}
	}
}

// shutdown closes the caller listener after a planned stop. The listener stays
// open for the leave delay, so that the balancer first notices that the host is
// leaving.
func (h *Host) shutdown(l *listeners, stopStart time.Time, unfinished []string, signals <-chan os.Signal) error {
	timeout := shutdownTimeout
	if len(unfinished) > 0 {
		timeout = unfinishedShutdownTimeout
	}
	if stopStart.IsZero() {
		stopStart = time.Now() // the stop was requested by an operator, not by a signal
	}
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		timer := time.NewTimer(time.Until(stopStart.Add(h.settings.Limits.LeaveDelay)))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		shutdownCtx, cancelShutdown := context.WithTimeout(ctx, timeout)
		defer cancelShutdown()
		done <- l.callers.Shutdown(shutdownCtx)
	}()
	select {
	case <-signals:
		return ErrKilled
	case err := <-done:
		return h.reportUnfinished(unfinished, err)
	}
}

// reportUnfinished logs what is still running at the end of a planned stop. It
// returns ErrUnfinished if there is any.
func (h *Host) reportUnfinished(unfinished []string, shutdownErr error) error {
	for _, name := range unfinished {
		h.log.Warn("host: request unfinished at the end of the planned stop", "request", name)
	}
	calls := h.proxy.InProgress()
	h.log.Info("host: planned stop ended", "unfinished", len(unfinished), "calls", calls)
	if len(unfinished) > 0 || shutdownErr != nil || calls > 0 {
		return ErrUnfinished
	}
	return nil
}
