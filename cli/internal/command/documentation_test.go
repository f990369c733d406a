package command

import (
	"os"
	"strings"
	"testing"
)

// TestDocumentedCommands guards against commands in the operators' guide or in
// the examples of --help that do not parse, such as after a flag was renamed.
func TestDocumentedCommands(t *testing.T) {
	data, err := os.ReadFile("../../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("TAMARACKCTL_HOST", "10.0.0.1:7201")
	lines := append(strings.Split(string(data), "\n"), examplePlan, exampleApply, exampleStatus, exampleExplain, exampleStop, exampleResume, exampleDrain, exampleCheck, exampleReplay, exampleTrace, exampleReport)
	checked := 0
	for _, line := range lines {
		words := strings.Fields(strings.ReplaceAll(line, `"`, ""))
		if len(words) < 2 || words[0] != program || strings.HasPrefix(line, program) && !strings.HasPrefix(words[1], "-") {
			continue // a sentence that begins with the program's name
		}
		if words[1] == "explain" {
			words = words[:3] // drops the further words of a subject that was in quotation marks
		}
		checked++
		if _, earlyExit := Parse(words[1:]); earlyExit != nil {
			t.Errorf("%q does not parse: %s", line, earlyExit.Stderr)
		}
	}
	if checked < 15 {
		t.Errorf("found %d documented commands, want at least 15", checked)
	}
}
