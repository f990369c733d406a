package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/standin/worker"
)

// workerFlags holds the flags of the command worker, which all workers of the
// process share.
type workerFlags struct {
	platform, listen, id, journal string
	count                         int
	host                          wire.Host
	checkpointTime, usageLag      time.Duration
	seed                          uint64
}

func addWorker(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("worker", "Run workers that are also the targets of calls.")
	f := &workerFlags{}
	c.Flag("platform", "Address of the platform, IP:port.").Required().StringVar(&f.platform)
	c.Flag("listen", "IP address; each worker gets a free port.").Default("127.0.0.1").StringVar(&f.listen)
	c.Flag("id", "ID of the worker; with a count above 1, a number is appended.").Default("worker").StringVar(&f.id)
	c.Flag("count", "Number of workers in this process.").Default("1").IntVar(&f.count)
	c.Flag("journal", "Existing folder for the workers' journals; empty: no journals.").StringVar(&f.journal)
	c.Flag("region", "Region.").Default("region").StringVar(&f.host.Region)
	c.Flag("zone", "Availability zone.").Default("zone").StringVar(&f.host.Zone)
	c.Flag("rack", "Rack.").Default("rack").StringVar(&f.host.Rack)
	c.Flag("milli-cores", "Thousandths of a processor.").Default("64000").Int64Var(&f.host.MilliCores)
	c.Flag("memory-mb", "Memory in megabytes.").Default("250000").Int64Var(&f.host.MemoryMB)
	c.Flag("accelerators", "Accelerators.").Default("0").Int64Var(&f.host.Accelerators)
	c.Flag("slots", "Maximum number of calls that a worker runs at once.").Default("8").IntVar(&f.host.Slots)
	c.Flag("connections", "Number of connections above which a worker refuses calls.").Default("64").IntVar(&f.host.Connections)
	c.Flag("checkpoint-time", "Time to write a checkpoint.").Default("200ms").DurationVar(&f.checkpointTime)
	c.Flag("usage-lag", "Minimum age of usage samples.").Default("2s").DurationVar(&f.usageLag)
	c.Flag("seed", "Seed for drawing lost answers; each worker adds its number.").Default("1").Uint64Var(&f.seed)
	commands[c.FullCommand()] = f.run
}

// run starts all workers and serves them until the context ends or one fails.
func (f *workerFlags) run(ctx context.Context) error {
	failed := make(chan error, f.count)
	for i := range f.count {
		l, server, err := f.newWorker(i)
		if err != nil {
			return err
		}
		go server.Run(ctx)
		go func() { failed <- serve(ctx, l, &http.Server{Handler: server, ConnState: server.ConnState}) }()
	}
	return <-failed
}

// newWorker returns worker i with its listener, and prints its ID and address.
func (f *workerFlags) newWorker(i int) (net.Listener, *worker.Server, error) {
	l, err := listen(net.JoinHostPort(f.listen, "0"))
	if err != nil {
		return nil, nil, err
	}
	host := f.host
	host.ID, host.Address = f.id, l.Addr().String()
	if f.count > 1 {
		host.ID = fmt.Sprintf("%s-%d", f.id, i)
	}
	var journal *worker.Journal
	if f.journal != "" {
		if journal, err = worker.OpenJournal(filepath.Join(f.journal, host.ID+".journal")); err != nil {
			return nil, nil, err
		}
	}
	fmt.Println("worker", host.ID, host.Address)
	return l, worker.NewServer(worker.Options{
		Host: host, Incarnation: rand.Text(), CheckpointTime: f.checkpointTime, UsageLag: f.usageLag,
		Seed: f.seed + uint64(i),
	}, f.platform, journal), nil
}
