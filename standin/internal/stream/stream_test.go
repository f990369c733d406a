package stream

import (
	"strings"
	"testing"
)

// Guards against a check that accepts a truncated answer, one mixed from two
// answers, or one to another call.
func TestVerify(t *testing.T) {
	digest := Digest([]byte("b"))
	render := func(p Plan) (s string) {
		for i := 1; i <= p.Chunks; i++ {
			s += p.Line(i)
		}
		return s
	}
	own := render(Plan{CallerID: "c1", RequestID: "r1", Digest: digest, Chunks: 3})
	other := render(Plan{CallerID: "c1", RequestID: "r2", Digest: digest, Chunks: 3})
	if err := Verify(own, "c1", digest); err != nil {
		t.Fatalf("a complete answer was rejected: %v", err)
	}
	first := strings.Index(own, "\n") + 1
	for name, body := range map[string]string{
		"empty": "", "truncated in a line": own[:len(own)-5], "truncated after a line": own[:first*2],
		"other call": strings.ReplaceAll(own, "call=c1", "call=c2"), "mixed": own[:first] + other[first:],
		"repeated": own + own, "other body": strings.ReplaceAll(own, digest, Digest(nil)),
	} {
		if Verify(body, "c1", digest) == nil {
			t.Errorf("%s: Verify accepted %q", name, body)
		}
	}
}
