package logread

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

const (
	started = `time=2026-10-02T03:00:01Z level=INFO msg="host: started" subject=front-a` + "\n"
	later   = `time=2026-10-02T03:00:03Z level=INFO msg="task: start ordered" subject=x` + "\n"
	other   = `time=2026-10-02T03:00:02Z level=INFO msg="host: started" subject=front-b` + "\n"
)

// TestVisit guards against lines out of order over the files, a wrong host, and a
// file or line that cannot be read and hides the others.
func TestVisit(t *testing.T) {
	folder := t.TempDir()
	names := []string{filepath.Join(folder, "1.log"), filepath.Join(folder, "2.log"), filepath.Join(folder, "none.log"), StandardInput}
	long := strings.Repeat("x", 3*bufferBytes) + "\n"
	for i, text := range []string{started + long + "\n" + later, other + "torn\n"} {
		if err := os.WriteFile(names[i], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	set, err := Open(names, strings.NewReader(" 7.5 front-c "+later))
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // a second visit reads the same
		var order []string
		reports := set.Visit(func(e logline.Event) { order = append(order, e.Writer+" "+e.Action) })
		want := "front-a started, front-b started, front-c start ordered, front-a start ordered"
		if got := strings.Join(order, ", "); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		if r := reports[0]; r.Lines != 2 || r.Bad != 1 || r.First[0] != (BadLine{2, errLineTooLong.Error()}) {
			t.Errorf("file with a long line: %+v", r)
		}
		if r := reports[1]; r.Lines != 1 || r.Bad != 1 || r.First[0].Number != 2 {
			t.Errorf("file with a torn line: %+v", r)
		}
		if !strings.Contains(reports[2].Error, "no such file") || reports[3].Lines != 1 {
			t.Errorf("missing file and standard input: %+v", reports[2:])
		}
	}
	copied := set.files[3].path
	set.Close()
	if _, err := os.Stat(copied); !os.IsNotExist(err) {
		t.Errorf("the copy of standard input stays: %v", err)
	}
}

// TestSimulatedTimes guards against simulated times that are not put beside times of
// day because the file begins with a line that is no log line, and against the rest
// of a torn line that is taken for a line of a host of its own.
func TestSimulatedTimes(t *testing.T) {
	set, err := Open([]string{StandardInput}, strings.NewReader("built in 8.5 s\n -2.5 front-a "+started+later+" 1 front-b "+other))
	if err != nil {
		t.Fatal(err)
	}
	defer set.Close()
	var order []string
	reports := set.Visit(func(e logline.Event) { order = append(order, e.Writer+" "+e.At.Format(time.TimeOnly)) })
	if got := strings.Join(order, ", "); got != "front-a 03:00:01, front-b 03:00:04" {
		t.Errorf("got %s, want times from the first clock", got)
	}
	if r := reports[0]; r.Lines != 2 || r.Bad != 2 || r.First[1] != (BadLine{3, errNoSimTime.Error()}) {
		t.Errorf("got %+v, want bad lines 1 and 3", r)
	}
}
