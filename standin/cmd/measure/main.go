// Command measure runs deployments of several sizes as separate processes and
// prints, as CSV, the resources that each entry host uses for control once all
// tasks run, without calls or under a given load. The figures in docs/CAPACITY.md
// are derived from the slopes between the sizes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

const (
	placementTimeout = 90 * time.Second // until all tasks run
	settleTime       = 20 * time.Second // between placement and the sample, because runs younger than 10 s are watched more closely
	workerGroups     = 12               // worker processes
)

// size is the size of one deployment to measure.
type size struct {
	entryHosts, workers, tasks, partitions int
}

func main() {
	app := kingpin.New("measure", "Print the resources that each entry host uses for control at several deployment sizes.")
	bin := app.Flag("bin", "Folder of the built programs.").Default("bin").String()
	sampleLength := app.Flag("sample", "Length of each sample.").Default("20s").Duration()
	calls := app.Flag("calls", "Calls per second during the sample, with a tenth as many orders; 0: none.").Default("0").Int()
	sizes := app.Arg("size", "ENTRYHOSTS,WORKERS,TASKS,PARTITIONS").Required().Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Println(header(*calls > 0))
	for _, text := range *sizes {
		z, err := parseSize(text)
		if err == nil {
			err = measure(ctx, *bin, z, *sampleLength, *calls)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "measure:", text+":", err)
			os.Exit(1)
		}
	}
}

// parseSize parses an argument of the form ENTRYHOSTS,WORKERS,TASKS,PARTITIONS.
func parseSize(text string) (size, error) {
	var numbers []int
	for _, word := range strings.Split(text, ",") {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 {
			return size{}, fmt.Errorf("%q is not ENTRYHOSTS,WORKERS,TASKS,PARTITIONS", text)
		}
		numbers = append(numbers, n)
	}
	if len(numbers) != 4 {
		return size{}, fmt.Errorf("%q is not ENTRYHOSTS,WORKERS,TASKS,PARTITIONS", text)
	}
	return size{numbers[0], numbers[1], numbers[2], numbers[3]}, nil
}

// rows returns a sheet with two latency-critical tasks for every three batch
// tasks, the mix that the system is designed for.
func (z size) rows() []structs.SheetRow {
	small := structs.Resources{MilliCores: 500, MemoryMB: 500}
	service := z.tasks * 2 / 5
	return []structs.SheetRow{
		{Name: "portal", Kind: structs.KindService, Command: "use=0.5", Importance: structs.ImportanceHigh, Count: service, Request: small},
		{Name: "study", Kind: structs.KindBatch, Command: "use=0.5", Importance: structs.ImportanceNormal, Count: z.tasks - service, Request: small, RunTimeMS: 3_600_000},
	}
}

// measure runs one deployment and prints its line.
func measure(ctx context.Context, bin string, z size, sampleLength time.Duration, calls int) error {
	folder, err := os.MkdirTemp("", "tamarackstep-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	workers := deployment.WorkerGroupsByRack(workerGroups, z.partitions)
	for i := range workers {
		workers[i].Count = z.workers / workerGroups
	}
	d, err := deployment.New(ctx, deployment.Options{
		ProgramFolder: bin, Folder: folder, Workers: workers, EntryHosts: z.entryHosts, Partitions: z.partitions,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	began := time.Now()
	reply, err := d.EntryHosts[0].Apply(wire.ApplyRequest{Author: "measure", Rows: z.rows()})
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return fmt.Errorf("sheet of %d tasks refused: %s", z.tasks, reply.Reason)
	}
	if err := d.AwaitRunning(ctx, z.rows(), placementTimeout); err != nil {
		return err
	}
	placed := time.Since(began)
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	load, err := startLoad(d, calls)
	if err != nil {
		return err
	}
	if err := sleep(ctx, load.warmUp()); err != nil {
		return err
	}
	before, err := readAllUsage(d)
	if err != nil {
		return err
	}
	if err := sleep(ctx, sampleLength); err != nil {
		return err
	}
	after, err := readAllUsage(d)
	if err != nil {
		return err
	}
	fmt.Print(formatUsage(z, placed, sampleLength, before, after))
	text, err := load.stop(before, after, sampleLength)
	fmt.Println(text)
	return err
}

// sleep waits for d, or returns the context's error as soon as it ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
