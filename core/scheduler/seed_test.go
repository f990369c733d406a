package scheduler

import (
	"flag"
	"os"
	"testing"
)

// fixSeed makes a run of rapid repeatable, unless the command line gives a seed
// or FRESH_SEEDS is set, as for a soak. rapid prints the seed of a failure.
func fixSeed(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() != "0" || os.Getenv("FRESH_SEEDS") != "" {
		return
	}
	if err := seed.Value.Set("1"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = seed.Value.Set("0") })
}
