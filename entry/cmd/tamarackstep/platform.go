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
	// platformLogQueue is the number of log lines that wait; more are dropped
	// and counted.
	platformLogQueue = 4096
	// platformGCPercent trades memory, of which a host has plenty, for processor
	// time, of which it has little.
	platformGCPercent = 300
	// memoryShare is the share of the machine's memory at which the collector
	// works harder, in percent.
	memoryShare = 70
)

// runOnPlatform runs a host on the platform whose settings the environment names.
func runOnPlatform(levelName string, stdout, stderr io.Writer) int {
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
		debug.SetMemoryLimit(s.MemoryMB << 20 * memoryShare / 100)
	}
	queue := logging.NewQueue(platformLogQueue)
	log := queue.Logger(stdout, level)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	log.Info("host: starting", "host", s.Host, "callers", s.Callers, "store", s.Store)
	err = platformhost.New(s, log, queue).Run(signals)
	if err != nil {
		log.Error("host: ended", "error", err.Error())
	} else {
		log.Info("host: ended", "host", s.Host)
	}
	queue.Close(logLimit)
	return exitStatus(err)
}
