// Command demo starts a small deployment as separate processes from the built
// programs and checks its main functions step by step. It exits with status 0
// only if every step succeeded, and leaves no process behind.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

const demoTimeout = 55 * time.Second // for all steps together

func main() {
	app := kingpin.New("demo", "Show a small deployment at work.")
	bin := app.Flag("bin", "Folder of the built programs.").Default("bin").String()
	keep := app.Flag("keep", "Keep the folder with settings, logs and journals.").Bool()
	kingpin.MustParse(app.Parse(normalizeFlags(os.Args[1:])))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := run(ctx, *bin, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

// normalizeFlags rewrites flags with one hyphen, such as -bin, to two.
func normalizeFlags(args []string) []string {
	for i, a := range args {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			args[i] = "-" + a
		}
	}
	return args
}

// run runs all steps in a new temporary folder and ends all processes. The folder
// is kept after a failure or if keep is set.
func run(ctx context.Context, bin string, keep bool) error {
	folder, err := os.MkdirTemp("", "tamarackstep-demo-")
	if err != nil {
		return err
	}
	began := time.Now()
	d := &demo{ctx: ctx, began: began, bin: bin, folder: folder}
	err = d.runSteps()
	if d.Deployment != nil {
		d.Close()
	}
	if err != nil || keep {
		fmt.Println("settings, logs and journals are kept in", filepath.Base(folder), "in the temporary folder")
		return err
	}
	fmt.Printf("%6.1f s  all steps succeeded; all processes have ended\n", time.Since(began).Seconds())
	return os.RemoveAll(folder)
}

// demo is one run of the demo. It owns the deployment and its folder.
type demo struct {
	*deployment.Deployment
	ctx    context.Context
	began  time.Time
	bin    string
	folder string
}

// runStep runs one step and prints its result with the time since the start of
// the demo.
func (d *demo) runStep(description string, action func() (string, error)) error {
	if err := d.ctx.Err(); err != nil {
		return err
	}
	detail, err := action()
	if err != nil {
		return fmt.Errorf("%s: %w", description, err)
	}
	fmt.Printf("%6.1f s  %s: %s\n", time.Since(d.began).Seconds(), description, detail)
	return nil
}

// runSteps runs all steps in order and stops at the first that fails.
func (d *demo) runSteps() error {
	for _, s := range []struct {
		description string
		action      func() (string, error)
	}{
		{"platform, workers and entry hosts run", d.startAll},
		{"a sheet is accepted", d.applySheet},
		{"the sheet is in force on all entry hosts", d.awaitInForce},
		{"tasks are placed and run under leases", d.awaitTasks},
		{"a call through each entry host gets its complete streamed answer", d.callThroughEachHost},
		{"an order that is repeated at another host runs once", d.repeatOrder},
		{"a worker leaves; its batch task resumes elsewhere", d.leaveWorker},
		{"a planned stop cuts no call", d.stopEntryHost},
	} {
		if err := d.runStep(s.description, s.action); err != nil {
			return err
		}
	}
	return nil
}
