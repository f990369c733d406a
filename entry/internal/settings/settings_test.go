package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against errors that are reported one at a time, on the wrong line, or
// without their key. Each TOML file under testdata has a golden file.
func TestValidationErrors(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no TOML files under testdata", err)
	}
	g := goldie.New(t)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		t.Run(name, func(t *testing.T) {
			_, err := Load(file)
			if err == nil {
				t.Fatalf("%s is accepted", file)
			}
			g.Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// Guards against example files that the program refuses.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatal("fewer than 2 example files", err)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

// Guards against keys that a file may have but that do not change the settings.
func TestAllKeysAreRead(t *testing.T) {
	text, err := os.ReadFile("testdata/all.txt")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("all.txt", string(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range fields {
		last := f.key[strings.LastIndexByte(f.key, '.')+1:]
		if !strings.Contains(string(text), "\n"+last+" = ") {
			t.Errorf("testdata/all.txt does not set %s", f.key)
		}
	}
	if s.Limits.HeldBody != 1<<10 || s.Limits.LeaveDelay.String() != "4s" || len(s.PeerSeeds) != 2 || s.Partitions != 7 {
		t.Errorf("got %+v", s)
	}
	if d := Default(); s.Limits == d.Limits || s.Process == d.Process || s.LogLevel == d.LogLevel || s.LogQueue == d.LogQueue {
		t.Error("some values are still the defaults")
	}
}
