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

	"github.com/tamarackstep/tamarackstep/standin/jobplatform"
)

// ciSeeds run in every CI build. A seed that has failed is added with a line on
// the cause.
var ciSeeds = []uint64{
	1, 2,
	4,  // evacuates a zone
	30, // DUPLICATE: the stand-in's worker did not notice that its lease expired while nothing ran
}

// wideSeeds are those of MixWide.
var wideSeeds = []uint64{1}

// wideSize returns the size of a run of MixWide or MixOpen.
func wideSize(seed uint64) Size {
	size := defaultSize(seed)
	size.Overcommits = seed%2 == 0
	if seed%3 == 0 {
		size.MaxLease = 10 * time.Second
	}
	return size
}

// mixFromEnvironment returns the mix that SOAK_MIX names (wide or open), and the sizes of its
// runs.
func mixFromEnvironment() (Mix, func(seed uint64) Size) {
	switch os.Getenv("SOAK_MIX") {
	case "wide":
		return MixWide, wideSize
	case "open":
		return MixOpen, wideSize
	}
	return MixBasic, defaultSize
}

// defaultSize returns the size of a run: seeds with odd numbers run with three shards, and each
// fifth evacuates a zone.
func defaultSize(seed uint64) Size {
	size := Size{Hosts: 3, Workers: 5, Evacuates: seed%5 == 4}
	if seed%2 == 1 {
		size.ShardWorkers = 2
	}
	return size
}

// buildProgram compiles the scheduler.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "tamarackstep")
	if text, err := exec.Command("go", "build", "-o", program, "../../entry/cmd/tamarackstep").CombinedOutput(); err != nil {
		t.Fatalf("build tamarackstep: %v: %s", err, text)
	}
	return program
}

// logFolder returns the folder for the logs and settings of a run: one of the given name
// in the folder that SOAK_LOGS names, or one that the test removes.
func logFolder(t *testing.T, name string) string {
	t.Helper()
	logs := os.Getenv("SOAK_LOGS")
	if logs == "" {
		return t.TempDir()
	}
	folder := filepath.Join(logs, name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	return folder
}

// runSeed runs a seed and reports its violations.
func runSeed(t *testing.T, seed uint64, mix Mix, size Size, program string) {
	result, err := Run(seed, mix, size, program, logFolder(t, fmt.Sprintf("%v%d", mix, seed)))
	if err != nil {
		t.Fatal(err)
	}
	report(t, seed, result)
}

// report fails the test if a run broke a guarantee or left anything unsettled.
func report(t *testing.T, seed uint64, result Result) {
	t.Helper()
	t.Logf("seed %d: %v", seed, result.Counts)
	if !result.Failed() {
		return
	}
	for _, f := range result.Faults {
		t.Log(f)
	}
	for _, v := range append(result.Violations, result.Unsettled...) {
		t.Errorf("seed %d: %s", seed, v)
	}
}

// Guards against violations that callers and workers see while faults of host
// processes, connections, the store and workers overlap, and against jobs that
// don't settle once the faults are over.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, MixBasic, defaultSize(seed), program)
		})
	}
	for _, seed := range wideSeeds {
		t.Run(fmt.Sprintf("wide-%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, MixWide, wideSize(seed), program)
		})
	}
}

// TestIdleWorkersRestart guards against tasks that run twice because they were started on
// a worker whose restart the leader had not noticed: the new incarnation carries the start
// out, and its entry in the list of workers is read afterwards.
func TestIdleWorkersRestart(t *testing.T) {
	t.Parallel()
	const rounds, seed = 3, 1
	result, err := RunIdleRestarts(rounds, seed, defaultSize(seed+1), buildProgram(t), logFolder(t, "idle"))
	if err != nil {
		t.Fatal(err)
	}
	report(t, seed, result)
}

// restartSeeds run in every CI build. A seed that has failed is added with a line on
// the cause.
var restartSeeds = []uint64{1, 8, 9}

// runRestartSeed runs mixes of restarts of one seed and reports the violations.
func runRestartSeed(t *testing.T, seed uint64, rounds int, mix Mix, size Size, program string) {
	result, err := RunRestartMixes(rounds, seed, mix, size, program, logFolder(t, fmt.Sprintf("restarts-%v%d", mix, seed)))
	if err != nil {
		t.Fatal(err)
	}
	report(t, seed, result)
}

// TestRestartMixes guards against tasks that run twice, get lost or never end after workers
// restarted under their IDs: at once or later, once or twice, idle or busy, with an entry
// that is late, removed or older, beside lost links and leaders.
func TestRestartMixes(t *testing.T) {
	t.Parallel()
	const rounds = 2
	program := buildProgram(t)
	for _, seed := range restartSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRestartSeed(t, seed, rounds, MixBasic, defaultSize(seed), program)
		})
	}
}

// TestRestartMixSeeds guards against the same failures with the seeds that SOAK_RESTART_SEEDS
// names, as SOAK_SEEDS does, and the mix that SOAK_MIX names.
func TestRestartMixSeeds(t *testing.T) {
	const rounds = 4
	mix, size := mixFromEnvironment()
	seeds := parseSeeds(t, os.Getenv("SOAK_RESTART_SEEDS"))
	if len(seeds) == 0 {
		t.Skip("SOAK_RESTART_SEEDS is not set")
	}
	program := buildProgram(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRestartSeed(t, seed, rounds, mix, size(seed), program)
		})
	}
}

// TestManyEnds guards against tasks that run again although they are done, because their ends
// do not fit into the first answer of a worker to a new leader.
func TestManyEnds(t *testing.T) {
	t.Parallel()
	const seed = 1
	result, err := RunManyEnds(seed, buildProgram(t), logFolder(t, "many-ends"))
	if err != nil {
		t.Fatal(err)
	}
	report(t, seed, result)
	if most := result.Counts["most ends"]; most <= jobplatform.MaxListedEnds {
		t.Errorf("a worker had to list at most %d ends, want more than one answer holds", most)
	}
}

// TestSoakSeeds guards against the same failures with other seeds: those that
// SOAK_SEEDS names (a list of numbers and ranges A-B), and random ones for
// SOAK_SECONDS, with the mix that SOAK_MIX names. It prints the seed of a failure.
func TestSoakSeeds(t *testing.T) {
	seeds := parseSeeds(t, os.Getenv("SOAK_SEEDS"))
	seconds, err := strconv.Atoi("0" + os.Getenv("SOAK_SECONDS"))
	if err != nil {
		t.Fatal(err)
	}
	if len(seeds) == 0 && seconds == 0 {
		t.Skip("neither SOAK_SEEDS nor SOAK_SECONDS is set")
	}
	mix, size := mixFromEnvironment()
	if hosts, err := strconv.Atoi(os.Getenv("SOAK_HOSTS")); err == nil {
		size = func(uint64) Size { return Size{Hosts: hosts, Workers: 2 * hosts, ShardWorkers: max(hosts/2, 1)} }
	}
	program := buildProgram(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, mix, size(seed), program)
		})
	}
	for began := time.Now(); time.Since(began) < time.Duration(seconds)*time.Second; {
		seed := rand.Uint64N(1 << 32)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, mix, size(seed), program) })
	}
}

func parseSeeds(t *testing.T, text string) []uint64 {
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
			t.Fatalf("SOAK_SEEDS: %q is neither a seed nor a range A-B of seeds", part)
		}
		for s := first; s <= last; s++ {
			seeds = append(seeds, s)
		}
	}
	return seeds
}
