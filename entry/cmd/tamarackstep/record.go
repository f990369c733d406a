package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/record"
)

// openRecord returns the observer that records events to a file, and the function
// that closes the file. An empty path disables recording. Events are written on
// the control loop's goroutine, so that none is lost. The loop waits for each
// write, so hosts in production do not record.
func openRecord(path string) (observe func(control.Event), closeRecord func() error, err error) {
	if path == "" {
		return nil, func() error { return nil }, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	w := record.NewWriter(file)
	return w.Write, func() error { return errors.Join(w.Err(), file.Close()) }, nil
}

// replay applies the recorded events of a file to a fresh reducer and prints the
// effects.
func replay(path string, stdout, stderr io.Writer) int {
	file, err := os.Open(path)
	if err != nil {
		fmt.Fprintf(stderr, "tamarackstep: %v\n", err)
		return exitFailed
	}
	defer file.Close()
	out := bufio.NewWriter(stdout)
	events, err := record.Replay(bufio.NewReader(file), out)
	err = errors.Join(err, out.Flush())
	if err != nil {
		fmt.Fprintf(stderr, "tamarackstep: %s: after %d events: %v\n", path, events, err)
		return exitFailed
	}
	return exitOK
}
