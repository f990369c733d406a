package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// ciSeeds are played by each run of CI. Seeds that ever failed are added with a
// line on the cause.
var ciSeeds = []uint64{1, 2}

var usual = Size{Hosts: 3, Workers: 5}

// buildProgram compiles the scheduler.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "tamarackstep")
	if text, err := exec.Command("go", "build", "-o", program, "../../entry/cmd/tamarackstep").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, text)
	}
	return program
}

// play runs a seed and reports what it found. The logs of a failed run are kept
// in the folder that SOAK_LOGS names.
func play(t *testing.T, seed uint64, size Size, program string) {
	folder := t.TempDir()
	if logs := os.Getenv("SOAK_LOGS"); logs != "" {
		folder = filepath.Join(logs, fmt.Sprint(seed))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	result, err := Run(seed, size, program, folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %v", seed, result.Counts)
	if !result.Failed() {
		return
	}
	for _, f := range result.Faults {
		t.Log(f)
	}
	for _, v := range append(result.Violations, result.Owed...) {
		t.Errorf("seed %d: %s", seed, v)
	}
}

// Guards what must hold under overlapping faults of processes, connections, the
// store and workers, as callers and workers see it.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, usual, program)
		})
	}
}

// TestSoakSeeds plays the seeds that SOAK_SEEDS names (A-B or a list), or fresh
// ones for SOAK_SECONDS. It prints the seed of a failure.
func TestSoakSeeds(t *testing.T) {
	seeds := namedSeeds(t, os.Getenv("SOAK_SEEDS"))
	seconds, err := strconv.Atoi("0" + os.Getenv("SOAK_SECONDS"))
	if err != nil {
		t.Fatal(err)
	}
	if len(seeds) == 0 && seconds == 0 {
		t.Skip("neither SOAK_SEEDS nor SOAK_SECONDS is set")
	}
	size := usual
	if hosts, err := strconv.Atoi(os.Getenv("SOAK_HOSTS")); err == nil {
		size = Size{Hosts: hosts, Workers: 2 * hosts}
	}
	program := buildProgram(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, size, program)
		})
	}
	for began := time.Now(); time.Since(began) < time.Duration(seconds)*time.Second; {
		seed := rand.Uint64N(1 << 32)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed, size, program) })
	}
}

func namedSeeds(t *testing.T, text string) []uint64 {
	t.Helper()
	var seeds []uint64
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		from, to, isRange := strings.Cut(part, "-")
		if !isRange {
			to = from
		}
		first, err1 := strconv.ParseUint(from, 10, 64)
		last, err2 := strconv.ParseUint(to, 10, 64)
		if err1 != nil || err2 != nil {
			t.Fatalf("seeds %q", part)
		}
		for s := first; s <= last; s++ {
			seeds = append(seeds, s)
		}
	}
	return seeds
}
