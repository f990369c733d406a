// Command standin runs the stand-ins that tests and the demo use in place of
// the platform, its workers and the callers.
package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/oops"
)

const headerTimeout = 10 * time.Second // for reading a request's headers

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, its workers and the callers.")
	commands := map[string]func(context.Context) error{}
	addPlatform(app, commands)
	addWorker(app, commands)
	addCaller(app, commands)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commands[command](ctx); err != nil {
		slog.Error(command+": stopped", "error", err)
		os.Exit(1)
	}
}

// serve answers HTTP requests until the context ends.
func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	s.ReadHeaderTimeout = headerTimeout
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return oops.With("address", l.Addr().String()).Wrapf(err, "serve")
	}
	return nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.With("address", address).Wrapf(err, "listen")
	}
	return l, nil
}
