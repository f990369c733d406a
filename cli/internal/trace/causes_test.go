package trace

import (
	"os"
	"strings"
	"testing"
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
