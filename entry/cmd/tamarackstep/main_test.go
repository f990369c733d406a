package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against unintended changes of the command line.
func TestHelp(t *testing.T) {
	for name, args := range map[string][]string{
		"help": {"--help"}, "help-run": {"run", "--help"}, "help-replay": {"replay", "--help"},
	} {
		var out, errs bytes.Buffer
		if status := run(args, &out, &errs); status != exitOK {
			t.Errorf("%s: status %d, %s", name, status, errs.String())
		}
		goldie.New(t).Assert(t, name, out.Bytes())
	}
}

// Guards against exit statuses other than the documented ones.
func TestExitStatuses(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("[host]\nnam = \"a\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cut := filepath.Join(dir, "cut.jsonl")
	if err := os.WriteFile(cut, []byte("{\"type\":\"TimerFired\",\"body\":{}}\n{\"ty"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args      []string
		status    int
		wantError string // substring of the error output
	}{
		{nil, exitUsage, "command not specified"},
		{[]string{"walk"}, exitUsage, "walk"},
		{[]string{"run"}, exitUsage, "--settings"},
		{[]string{"check-settings", bad}, exitUsage, "bad.toml:2: host.nam: is not a setting; the nearest is host.name"},
		{[]string{"run", "--settings", bad}, exitUsage, "host.region: is missing"},
		{[]string{"check-settings", "../../examples/rhodope/entry-1.toml"}, exitOK, ""},
		{[]string{"replay", filepath.Join(dir, "none")}, exitFailed, "no such file"},
		{[]string{"replay", cut}, exitFailed, "after 1 events: line 2"},
	} {
		var out, errs bytes.Buffer
		if status := run(c.args, &out, &errs); status != c.status || !strings.Contains(errs.String(), c.wantError) {
			t.Errorf("%v: status %d, %q", c.args, status, errs.String())
		}
	}
}
