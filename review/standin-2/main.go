// Command standin runs one case of the review: hosts of the project as separate
// processes, with stand-ins of the platform's store, of workers and of callers in this
// process. It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// runLimit ends a case that does not end by itself.
	runLimit = 118 * time.Second
)

// cases maps the names of the cases to their scripts.
var cases = map[string]func(*deployment, bool){
	"long":    runLong,
	"hold":    runHold,
	"silence": runSilence,
	"failing": runFailing,
	"rack":    runRack,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "file for the record of the run")
	trouble := flag.String("trouble", "1", "0 leaves out the disruption")
	keep := flag.String("logs", "", "existing folder that keeps the hosts' logs; empty: a temporary one")
	flag.Parse()
	run, ok := cases[*name]
	if !ok || *record == "" {
		fmt.Fprintln(os.Stderr, "standin: unknown case or no record")
		os.Exit(exitFailed)
	}
	os.Exit(play(run, *name, *record, *trouble != "0", *keep))
}

// play runs one case and returns the exit status.
func play(run func(*deployment, bool), name, recordPath string, trouble bool, logs string) int {
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer rec.close()
	d := newDeployment(rec, logs)
	defer d.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				done <- fmt.Errorf("%v", r)
			}
		}()
		run(d, trouble)
		done <- nil
	}()
	rec.log("case", "%s, disruption %v", name, trouble)
	select {
	case err = <-done:
	case <-time.After(runLimit):
		err = fmt.Errorf("the case did not end in time")
	case <-stop:
		err = fmt.Errorf("stopped by a signal")
	}
	if err != nil {
		rec.log("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	return d.checker.verdict()
}
