package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

const (
	loadWarmUp    = 3 * time.Second  // from the start of the load to the sample
	reportTimeout = 15 * time.Second // for the calls in progress at the end
	maxInProgress = 400              // calls and orders at a time
	holdMS        = 5                // service time of a call, in milliseconds
)

// load is the caller that runs during the sample. A nil load sends nothing.
type load struct{ process *deployment.Process }

// startLoad starts a caller on all entry hosts, or returns nil for 0 calls per
// second.
func startLoad(d *deployment.Deployment, calls int) (*load, error) {
	if calls == 0 {
		return nil, nil
	}
	p, err := d.StartCaller("load", "portal", "--calls", strconv.Itoa(calls), "--orders", strconv.Itoa(calls/10),
		"--in-progress", strconv.Itoa(maxInProgress), "--hold-ms", strconv.Itoa(holdMS))
	if err != nil {
		return nil, err
	}
	return &load{process: p}, nil
}

func (l *load) warmUp() time.Duration {
	if l == nil {
		return 0
	}
	return loadWarmUp
}

// stop ends the load and returns the columns of loadHeader: results of the calls
// over the whole load, and the work of all control loops during the sample.
func (l *load) stop(before, after []usage, sampleLength time.Duration) (string, error) {
	if l == nil {
		return "", nil
	}
	r, err := deployment.StopCaller(l.process, reportTimeout)
	if err != nil {
		return "", err
	}
	var steps, stepSeconds float64
	for i := range after {
		steps += after[i].steps - before[i].steps
		stepSeconds += after[i].stepSeconds - before[i].stepSeconds
	}
	return fmt.Sprintf(",%d,%d,%.2f,%.2f,%.2f,%.0f,%.1f", r.CallsDone, r.CallsFailed+r.Skipped, r.P50MS, r.P99MS, r.MaxMS,
		steps/sampleLength.Seconds(), stepSeconds/steps*1e6), nil
}
