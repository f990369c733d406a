// Command mutate checks by mutation testing that each rule listed in a TOML file
// is guarded by a test: it removes the rule from a temporary copy of the sources,
// runs the test, and expects it to fail. It does not change the sources.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/BurntSushi/toml"
)

// mutation is the removal of one rule: Old, which must occur exactly once in
// File, is replaced by New.
type mutation struct {
	Name    string // what is removed
	Guards  string // the invariant that the rule keeps
	File    string // path relative to the root of the repository
	Old     string
	New     string
	Package string   // package of the test, relative to the module of File
	Test    string   // regular expression that the names of the tests to run match
	Args    []string // further arguments of go test
}

// mutationPlan is the content of the TOML file.
type mutationPlan struct {
	Modules  []string // directories of the modules that are copied
	Parallel int      // mutations that are checked at once, at least 1
	Mutation []mutation
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: mutate FILE.toml")
		os.Exit(2)
	}
	var p mutationPlan
	if _, err := toml.DecodeFile(os.Args[1], &p); err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(2)
	}
	failed := p.run()
	fmt.Printf("%d passed, %d failed\n", len(p.Mutation)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// run checks all mutations, prints the result of each, and returns the number of
// those that failed.
func (p mutationPlan) run() int {
	errs := make([]error, len(p.Mutation))
	slots := make(chan struct{}, max(1, p.Parallel))
	var wg sync.WaitGroup
	for i, m := range p.Mutation {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = p.check(m)
		})
	}
	wg.Wait()
	failed := 0
	for i, m := range p.Mutation {
		if errs[i] != nil {
			failed++
			fmt.Printf("FAILED  %s (%s): %v\n", m.Name, m.Test, errs[i])
			continue
		}
		fmt.Printf("killed  %s (%s)\n", m.Name, m.Test)
	}
	return failed
}

// check applies one mutation to a temporary copy and returns nil when the test
// fails or panics there.
func (p mutationPlan) check(m mutation) error {
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for _, module := range p.Modules {
		if err := os.CopyFS(filepath.Join(dir, module), os.DirFS(module)); err != nil {
			return err
		}
	}
	if err := replaceOnce(filepath.Join(dir, m.File), m.Old, m.New); err != nil {
		return err
	}
	cmd := exec.Command("go", append([]string{"test", "-count=1", "-run", m.Test, m.Package}, m.Args...)...)
	module, _, _ := strings.Cut(m.File, "/")
	cmd.Dir = filepath.Join(dir, module)
	cmd.Env = append(os.Environ(), "GOWORK=off")
	out, err := cmd.CombinedOutput()
	switch {
	case err == nil:
		return fmt.Errorf("the mutation survived: the test passes without the rule")
	case !strings.Contains(string(out), "--- FAIL") && !strings.Contains(string(out), "panic:"):
		return fmt.Errorf("the test did not run:\n%s", out)
	}
	return nil
}

// replaceOnce replaces old, which must occur exactly once in the file.
func replaceOnce(path, old, replacement string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := strings.Count(string(b), old); n != 1 {
		return fmt.Errorf("%s contains the text to replace %d times, want once", filepath.Base(path), n)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(b), old, replacement, 1)), 0o600)
}
