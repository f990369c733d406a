package platformhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/platform"
)

const (
	serverHeaderTimeout = 5 * time.Second
	serverIdleTimeout   = 60 * time.Second
	maxHeaderBytes      = 32 << 10
	// MetricsPort and MetricsPath are where metrics are served; deploy/system.toml
	// has the same values.
	MetricsPort = "9464"
	MetricsPath = "/metrics"
)

// Run serves until a planned stop is complete or a listener fails. SIGHUP checks
// the settings file; any other signal begins a planned stop.
func (h *Host) Run(signals <-chan os.Signal) error {
	callers, err := listen("callers", h.settings.Callers)
	if err != nil {
		return err
	}
	probes, err := listen("readiness", h.settings.Readiness)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.loop.Run(ctx)
	h.loop.Post(h.started())

	failed := make(chan error, 2)
	callerServer := h.serve(callers, h.requests, failed)
	readinessServer := h.serve(probes, http.HandlerFunc(h.serveReadiness), failed)
	h.serveMetrics()
	return h.waitForStop(signals, failed, callerServer, readinessServer)
}

func listen(step, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("host").With("step", "listen for "+step).With("peer", address).Wrap(err)
	}
	return l, nil
}

func (h *Host) serve(l net.Listener, handler http.Handler, failed chan<- error) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: serverHeaderTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- oops.In("host").With("step", "serve").With("peer", l.Addr().String()).Wrap(err)
		}
	}()
	return server
}

// serveReadiness answers the balancer's probe.
func (h *Host) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case h.ready.Load():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics serves metrics and explanations if the port is free. The host runs without
// them otherwise.
func (h *Host) serveMetrics() {
	ip, _, err := net.SplitHostPort(h.settings.Callers)
	if err != nil {
		h.log.Warn("host: metrics are not served", "error", err)
		return
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, MetricsPort))
	if err != nil {
		h.log.Warn("host: metrics are not served", "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) { h.metrics.Write(w) })
	mux.Handle("POST "+wire.PathExplainJob, h.explainer)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: serverHeaderTimeout, IdleTimeout: serverIdleTimeout}
	go func() {
		if err := server.Serve(l); err != nil {
			h.log.Warn("host: metrics listener failed", "error", err)
		}
	}()
}

func (h *Host) waitForStop(signals <-chan os.Signal, failed <-chan error, callerServer, readinessServer *http.Server) error {
	var stop stopDeadline
	defer stop.cancel()
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				h.revalidateSettings()
				continue
			}
			h.log.Info("host: stop signal received", "signal", sig.String())
			stop.begin(h.clock, h.settings.Bounds.StopGracePeriod)
			go h.loop.Post(scheduler.StopRequested{}) // Post blocks while the queue is full
		case <-stop.checks():
			if stop.left() > 0 {
				continue
			}
			h.log.Warn("host: planned stop takes too long, ending the process", "age_ms", stop.age().Milliseconds())
			return errors.Join(callerServer.Close(), readinessServer.Close())
		case err := <-failed:
			return err
		case <-h.stopped:
			return shutdown(stop.left(), callerServer, readinessServer)
		}
	}
}

// revalidateSettings validates the settings file again and logs the result. A running
// process keeps its settings; changes apply at the next start.
func (h *Host) revalidateSettings() {
	path, err := platform.SettingsPath()
	if err == nil {
		_, err = platform.LoadSettings(path)
	}
	if err != nil {
		h.log.Warn("host: settings file is invalid, keeping the current settings", "error", err)
		return
	}
	h.log.Info("host: settings file is valid, changes apply at the next start", "file", path)
}

// shutdown closes the listeners once responses in progress are written, and after the
// timeout in any case.
func shutdown(timeout time.Duration, callerServer, readinessServer *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := callerServer.Shutdown(ctx)
	return errors.Join(err, readinessServer.Close())
}
