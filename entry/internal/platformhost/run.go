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

	"github.com/tamarackstep/tamarackstep/core/scheduler"
	"github.com/tamarackstep/tamarackstep/platform"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
	// shutdownLimit bounds the wait for answers in progress after a planned stop.
	shutdownLimit = 2 * time.Second
	// MetricsPort and MetricsPath are where metrics are served; the deploy file
	// names them too.
	MetricsPort = "9464"
	MetricsPath = "/metrics"
)

// Run serves until a planned stop is complete or a listener fails.
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
	front := h.serve(callers, h.front, failed)
	readiness := h.serve(probes, http.HandlerFunc(h.probe), failed)
	h.serveMetrics()
	return h.wait(signals, failed, front, readiness)
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
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- oops.In("host").With("step", "serve").With("peer", l.Addr().String()).Wrap(err)
		}
	}()
	return server
}

// probe answers the balancer.
func (h *Host) probe(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case h.ready.Load():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics serves metrics where the port is free. The host works without.
func (h *Host) serveMetrics() {
	ip, _, err := net.SplitHostPort(h.settings.Callers)
	if err != nil {
		h.log.Warn("host: no metrics", "error", err)
		return
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, MetricsPort))
	if err != nil {
		h.log.Warn("host: no metrics", "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) { h.numbers.Write(w) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(l); err != nil {
			h.log.Warn("host: metrics ended", "error", err)
		}
	}()
}

func (h *Host) wait(signals <-chan os.Signal, failed <-chan error, front, readiness *http.Server) error {
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				h.reload()
				continue
			}
			h.log.Info("host: signal to stop", "signal", sig.String())
			go h.loop.Post(scheduler.StopRequested{}) // the queue may be full
		case err := <-failed:
			return err
		case <-h.stopped:
			return shutdown(front, readiness)
		}
	}
}

// reload checks the settings file again. The addresses of a running process
// stay; other fields are read at the start only.
func (h *Host) reload() {
	path, err := platform.SettingsPath()
	if err == nil {
		_, err = platform.LoadSettings(path)
	}
	if err != nil {
		h.log.Warn("host: reload found faulty settings, keeping the current ones", "error", err)
		return
	}
	h.log.Info("host: reload found good settings, which apply from the next start", "file", path)
}

// shutdown ends the listeners once answers in progress are written.
func shutdown(front, readiness *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	err := front.Shutdown(ctx)
	return errors.Join(err, readiness.Close())
}
