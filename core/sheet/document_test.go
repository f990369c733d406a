package sheet

import (
	"os"
	"strings"
	"testing"
)

// TestDocumentation guards against accepted headers and words that docs/sheet.md
// does not list.
func TestDocumentation(t *testing.T) {
	data, err := os.ReadFile("../../docs/sheet.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for header := range columnByHeader {
		if !strings.Contains(page, header) {
			t.Errorf("header %q is not documented", header)
		}
	}
	for w := range kindWords {
		if !strings.Contains(page, w) {
			t.Errorf("kind %q is not documented", w)
		}
	}
	for w := range importanceWords {
		if !strings.Contains(page, w) {
			t.Errorf("importance %q is not documented", w)
		}
	}
}
