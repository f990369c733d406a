package host

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"golang.org/x/net/netutil"

	"github.com/tamarackstep/tamarackstep/entry/internal/operator"
	"github.com/tamarackstep/tamarackstep/entry/internal/peer"
)

const (
	maxOperatorConnections = 64
	maxPeerConnections     = 1024 // a few hundred entry hosts with 4 connections each
	serverReadTimeout      = 30 * time.Second
)

// listeners holds the three servers of a host and their sockets.
type listeners struct {
	callers, operators, peers *http.Server
	sockets                   []net.Listener
	failed                    chan error // buffered for one error per server
}

// listen opens the three sockets and returns the servers, which do not serve
// yet. Connections wait in the socket's backlog until they do.
func (h *Host) listen() (*listeners, error) {
	l := &listeners{failed: make(chan error, 3)}
	operators := operator.NewHandler(operator.Config{
		Token: h.settings.OperatorToken, BodyBytes: h.settings.Limits.SheetBytes,
		Replies: h.replies, StatusCache: h.statusCache, Metrics: func(w io.Writer) { h.metrics.Write(w) },
	})
	limits := h.settings.Limits
	l.callers = h.server(h.proxy)
	l.callers.IdleTimeout = limits.IdleTimeout
	l.operators = h.server(operators)
	l.operators.ReadTimeout = serverReadTimeout
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(h.settings.PeerToken, h.loop.Post))
	l.peers = h.server(mux)
	l.peers.ReadTimeout = serverReadTimeout
	for _, s := range []struct {
		name, address string
		connections   int
	}{
		{"callers", h.settings.CallerListener, limits.CallerConnections},
		{"operators", h.settings.OperatorListener, maxOperatorConnections},
		{"peers", h.settings.PeerListener, maxPeerConnections},
	} {
		socket, err := net.Listen("tcp", s.address)
		if err != nil {
			l.close()
			return nil, oops.In("host").With("step", "listen").With("listener", s.name).Wrap(err)
		}
		l.sockets = append(l.sockets, netutil.LimitListener(socket, s.connections))
	}
	return l, nil
}

func (h *Host) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: h.settings.Limits.HeaderTimeout,
		MaxHeaderBytes: int(h.settings.Limits.HeaderBytes),
		ErrorLog:       slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
}

// serve starts serving on all sockets.
func (l *listeners) serve() {
	for i, s := range []*http.Server{l.callers, l.operators, l.peers} {
		go func() {
			if err := s.Serve(l.sockets[i]); !errors.Is(err, http.ErrServerClosed) {
				l.failed <- oops.In("host").With("step", "serve").Wrap(err)
			}
		}()
	}
}

// close closes all sockets and connections at once.
func (l *listeners) close() {
	for _, s := range []*http.Server{l.callers, l.operators, l.peers} {
		_ = s.Close() // only reports that a socket was closed already
	}
	for _, s := range l.sockets {
		_ = s.Close()
	}
}
