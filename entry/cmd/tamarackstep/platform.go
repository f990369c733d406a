package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/tamarackstep/tamarackstep/entry/internal/logging"
	"github.com/tamarackstep/tamarackstep/entry/internal/platformhost"
	"github.com/tamarackstep/tamarackstep/platform"
)

const (
	// platformLogQueue is the number of log lines that may be queued; further
	// lines are dropped and counted.
	platformLogQueue = 4096
	// platformGCPercent trades memory for processor time: a host has plenty of
	// memory and little processor time.
	platformGCPercent = 300
	// defaultShardWorkers divides the workers so that a leader needs a fraction of a
	// processor, and a shard still has room for wide jobs.
	defaultShardWorkers = 256
	// memoryLimitPercent is the soft memory limit of the Go runtime, in percent
	// of the machine's memory. The collector runs more often near the limit.
	memoryLimitPercent = 70
)

// runOnPlatform runs a host on the platform whose settings the environment names.
func runOnPlatform(levelName, logFormat string, shardWorkers int, stdout, stderr io.Writer) int {
	path, err := platform.SettingsPath()
	if err != nil {
		fmt.Fprintf(stderr, "tamarackstep: %v\n", err)
		return exitUsage
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintf(stderr, "tamarackstep: %v\n", err)
		return exitUsage
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(levelName)); err != nil {
		fmt.Fprintf(stderr, "tamarackstep: %v\n", err)
		return exitUsage
	}
	debug.SetGCPercent(platformGCPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(s.MemoryMB << 20 * memoryLimitPercent / 100)
	}
	queue := logging.NewQueue(platformLogQueue)
	log := queue.Logger(stdout, level, logFormat)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	log.Info("host: starting", "host", s.Host, "callers", s.Callers, "store", s.Store)
	err = platformhost.New(s, shardWorkers, log, queue).Run(signals)
	if err != nil {
		log.Error("host: ended", "error", err.Error())
	} else {
		log.Info("host: ended", "host", s.Host)
	}
	queue.Close(platformhost.LogFlushTimeout(s.Bounds.StopGracePeriod))
	return exitStatus(err)
}
