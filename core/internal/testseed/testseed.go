// Package testseed makes property tests with rapid repeatable. Only tests use it.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Fix sets the seed of rapid to 1 for the test, unless the command line gives a
// seed or FRESH_SEEDS is set, as in a soak test. rapid prints the seed of a
// failing run.
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
