// Command tamarackstep runs an entry host. A deployment runs it on every entry
// host, behind the platform's load balancer. It also checks settings files and
// replays recorded events.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackstep/tamarackstep/entry/internal/host"
	"github.com/tamarackstep/tamarackstep/entry/internal/logging"
	"github.com/tamarackstep/tamarackstep/entry/internal/settings"
	"github.com/tamarackstep/tamarackstep/platform"
)

// Exit statuses.
const (
	exitOK         = 0
	exitFailed     = 1 // a listener could not be opened or failed, or a file could not be read or written
	exitUsage      = 2 // the command line or the settings are invalid
	exitUnfinished = 3 // a planned stop ended with work unfinished
	exitKilled     = 4 // a second signal ended the process at once
)

// logFlushTimeout bounds the wait for the last log lines to be written.
const logFlushTimeout = 2 * time.Second

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("tamarackstep", "Entry host: schedules work on workers and routes calls to services.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	app.Terminate(func(code int) { panic(helpShown{code}) })

	runCommand := app.Command("run", "Run the entry host until a signal ends it.")
	settingsFile := runCommand.Flag("settings", "Settings file (TOML).").Required().PlaceHolder("FILE").String()
	recordFile := runCommand.Flag("record", "Write all events of the control loop to a file, for tests.").
		PlaceHolder("FILE").String()
	runLogFormat := logFormatFlag(runCommand)
	platformCommand := app.Command("platform", "Run a host on the users' platform until a signal ends it.")
	logLevel := platformCommand.Flag("log-level", "Lowest level of log lines: debug, info, warn or error.").Default("info").
		Enum("debug", "info", "warn", "error")
	platformLogFormat := logFormatFlag(platformCommand)
	shardWorkers := platformCommand.Flag("shard-workers", "Number of workers for which a further shard is added; 0: one shard for all workers.").
		Default(strconv.Itoa(defaultShardWorkers)).Uint16()
	checkCommand := app.Command("check-settings", "Check a settings file and report all its faults.")
	checkedFile := checkCommand.Arg("file", "Settings file (TOML).").Required().String()
	isPlatformFile := checkCommand.Flag("platform", "The file is one that the users' platform writes.").Bool()
	replayCommand := app.Command("replay", "Apply recorded events to a fresh reducer and print the effects.")
	replayFile := replayCommand.Arg("file", "File written by run --record.").Required().String()

	if len(args) == 0 { // kingpin would print the help and exit with status 0
		fmt.Fprintln(stderr, "tamarackstep: command not specified; see tamarackstep --help")
		return exitUsage
	}
	command, help, err := parse(app, args)
	if help != nil {
		return help.status
	}
	if err != nil {
		fmt.Fprintf(stderr, "tamarackstep: %v; see tamarackstep --help\n", err)
		return exitUsage
	}
	switch command {
	case runCommand.FullCommand():
		return runHost(*settingsFile, *recordFile, *runLogFormat, stderr)
	case platformCommand.FullCommand():
		return runOnPlatform(*logLevel, *platformLogFormat, int(*shardWorkers), stdout, stderr)
	case checkCommand.FullCommand():
		return checkSettings(*checkedFile, *isPlatformFile, stdout, stderr)
	case replayCommand.FullCommand():
		return replay(*replayFile, stdout, stderr)
	}
	return exitUsage
}

// logFormatFlag adds the flag for the form of log lines to a command.
func logFormatFlag(command *kingpin.CmdClause) *string {
	return command.Flag("log-format", "Form of log lines: text or json.").Default(logging.FormatText).Enum(logging.Formats...)
}

// helpShown is the panic value that ends parsing after the help was printed:
// kingpin requires that its Terminate function does not return.
type helpShown struct{ status int }

func parse(app *kingpin.Application, args []string) (command string, help *helpShown, err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case helpShown:
			help = &r
		default:
			panic(r)
		}
	}()
	command, err = app.Parse(args)
	return command, nil, err
}

func checkSettings(settingsFile string, isPlatformFile bool, stdout, stderr io.Writer) int {
	var err error
	if isPlatformFile {
		_, err = platform.LoadSettings(settingsFile)
	} else {
		_, err = settings.Load(settingsFile)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	fmt.Fprintf(stdout, "%s: no faults\n", settingsFile)
	return exitOK
}

func runHost(settingsFile, recordFile, logFormat string, stderr io.Writer) int {
	s, err := settings.Load(settingsFile)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	tuneRuntime(s.Process)
	observe, closeRecord, err := openRecord(recordFile)
	if err != nil {
		fmt.Fprintf(stderr, "tamarackstep: %v\n", err)
		return exitFailed
	}
	queue := logging.NewQueue(s.LogQueue)
	log := queue.Logger(stderr, s.LogLevel, logFormat)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	err = host.New(s, log, queue, observe).Run(signals)
	if recordErr := closeRecord(); recordErr != nil {
		err = errors.Join(err, recordErr)
	}
	if err != nil {
		log.Error("host: ended", "error", err.Error())
	}
	queue.Close(logFlushTimeout)
	return exitStatus(err)
}

// tuneRuntime applies the settings for the Go runtime.
func tuneRuntime(p settings.Process) {
	debug.SetGCPercent(p.GCPercent)
	if p.Processors > 0 {
		runtime.GOMAXPROCS(p.Processors)
	}
}

func exitStatus(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, host.ErrUnfinished):
		return exitUnfinished
	case errors.Is(err, host.ErrKilled):
		return exitKilled
	}
	return exitFailed
}
