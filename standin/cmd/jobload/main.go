// Command jobload runs hosts of the platform as separate processes under a constant
// load of jobs, and prints what each started task costs them and how long jobs wait
// for their first start.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackstep/tamarackstep/standin/soak"
)

func main() {
	app := kingpin.New("jobload", "Print the processor time of hosts under a constant load of jobs.")
	program := app.Flag("program", "Scheduler program.").Default("bin/tamarackstep").String()
	hosts := app.Flag("hosts", "Host processes.").Default("3").Int()
	workers := app.Flag("workers", "Workers.").Default("100").Int()
	shardWorkers := app.Flag("shard-workers", "Workers for which a further shard is added; 0: one shard.").Default("0").Int()
	rate := app.Flag("jobs", "Jobs per second.").Default("10").Float64()
	tasks := app.Flag("tasks", "Tasks of each job.").Default("20").Int()
	cpu := app.Flag("cpu", "Thousandths of a processor that each task requests.").Default("500").Int64()
	work := app.Flag("work", "Run time of each task.").Default("1s").Duration()
	length := app.Flag("length", "Time during which jobs arrive.").Default("10s").Duration()
	folder := app.Flag("folder", "Folder for logs and settings; a temporary one by default.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	load := soak.Load{JobsPerSecond: *rate, TasksPerJob: *tasks, TaskMilliCores: *cpu, Work: *work, Length: *length}
	if err := run(load, soak.Size{Hosts: *hosts, Workers: *workers, ShardWorkers: *shardWorkers}, *program, *folder); err != nil {
		fmt.Fprintln(os.Stderr, "jobload:", err)
		os.Exit(1)
	}
}

func run(load soak.Load, size soak.Size, program, folder string) error {
	if folder == "" {
		temporary, err := os.MkdirTemp("", "jobload")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(temporary) }() // a leftover folder harms nothing
		folder = temporary
	}
	r, err := soak.RunLoad(load, size, program, folder)
	if err != nil {
		return err
	}
	fmt.Printf("jobs accepted %d, completed %d; tasks started %d\n", r.Accepted, r.Completed, r.TasksStarted)
	fmt.Printf("first start after %v (median), %v (95%%)\n", r.StartWait(0.5).Round(time.Millisecond), r.StartWait(0.95).Round(time.Millisecond))
	fmt.Printf("processor time per started task %v; by host %v\n", r.CPUPerStart().Round(time.Microsecond), r.HostCPU)
	return nil
}
