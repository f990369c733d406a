package trace

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestRulesNameOperationsPage guards against a rule whose section or step is not in
// docs/OPERATIONS.md, such as after a heading was changed.
func TestRulesNameOperationsPage(t *testing.T) {
	data, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := make(map[string]string)
	for _, section := range strings.Split(string(data), "\n## ") {
		heading, text, _ := strings.Cut(section, "\n")
		sections[heading] = text
	}
	for _, r := range rules {
		text, ok := sections[r.section]
		if !ok || r.step != "" && !strings.Contains(text, "\n"+r.step+". ") {
			t.Errorf("%q: docs/OPERATIONS.md has no step %q in section %q", r.cause, r.step, r.section)
		}
	}
}

// TestRulesNameLinesOfScheduler guards against a rule that no line fits any more, such
// as after an action or reason was reworded in the scheduler.
func TestRulesNameLinesOfScheduler(t *testing.T) {
	files, err := filepath.Glob("../../../core/scheduler/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sources of the scheduler: %v", err)
	}
	var sources strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		sources.Write(data)
	}
	for _, r := range rules {
		if r.finding == "" && !writesAction(sources.String(), r) {
			t.Errorf("%q: the scheduler writes no line %q", r.cause, r.part+": "+r.action)
		}
		if !strings.Contains(sources.String(), `"`+r.reason) {
			t.Errorf("%q: the scheduler writes no reason %q", r.cause, r.reason)
		}
	}
}

var actionPattern = regexp.MustCompile(`Part: "(\w+)", Action: ("([^"]*)"|\w+\W)`)

// writesAction reports whether a decision in the sources has the action of a rule. The
// end of an action may be computed; actions held in variables appear elsewhere as text.
func writesAction(sources string, r rule) bool {
	for _, m := range actionPattern.FindAllStringSubmatch(sources, -1) {
		switch {
		case m[1] != r.part:
		case m[3] == "" && strings.Contains(sources, `"`+r.action):
			return true
		case m[3] != "" && (strings.HasPrefix(m[3], r.action) || strings.HasPrefix(r.action, m[3])):
			return true
		}
	}
	return false
}

// TestNextRunLate guards against a task that waits for a worker after its run was lost
// without a cause for the wait.
func TestNextRunLate(t *testing.T) {
	for wait, want := range map[time.Duration]bool{lateStart - 1: false, lateStart: true} {
		f := analyse(event(0, "a", "task", "start ordered", "i-1", 1), event(second, "a", "task", "run lost", "i-1", 1),
			event(second+wait, "a", "task", "start ordered", "i-2", 2))
		found := slices.ContainsFunc(f.Causes, func(c Cause) bool {
			return strings.Contains(c.Text, "next run of a task came late") && c.Span.Task == testTask && c.Span.To.Sub(c.Span.From) == wait
		})
		if found != want {
			t.Errorf("a wait of %s: late is %t, want %t; causes %+v", wait, found, want, f.Causes)
		}
	}
}
