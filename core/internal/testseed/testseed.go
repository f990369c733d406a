// Package testseed makes runs of rapid repeatable. Only tests use it.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Fix gives rapid a fixed seed, unless the command line gives one or FRESH_SEEDS
// is set, as for a soak. rapid prints the seed of a failure.
func Fix(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() != "0" || os.Getenv("FRESH_SEEDS") != "" {
		return
	}
	if err := seed.Value.Set("1"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = seed.Value.Set("0") })
}
