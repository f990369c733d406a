// Package stream defines the streamed answer of a stand-in target. Each line names
// the request, so that a caller can check that the answer is complete and that
// every byte belongs to its own request. The package holds no state.
package stream

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Plan describes the content of one answer. Each chunk is one line.
type Plan struct {
	CallerID  string // the caller's own ID of the call
	RequestID string // the request id that reached the target
	Service   string
	Task      string
	Digest    string // Digest of the request's body
	Chunks    int
}

// Digest returns a short hash of a request's body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Line returns chunk i, from 1 to Chunks.
func (p Plan) Line(i int) string {
	return fmt.Sprintf("chunk=%d/%d call=%s body=%s request=%s service=%s task=%s\n",
		i, p.Chunks, p.CallerID, p.Digest, p.RequestID, p.Service, p.Task)
}

// Verify checks that the body is one complete answer to the call with this caller
// ID and this digest of the request body. The error quotes the first wrong line.
func Verify(body, callerID, digest string) error {
	if !strings.HasSuffix(body, "\n") {
		return fmt.Errorf("answer of %d bytes does not end with a complete line", len(body))
	}
	lines := strings.SplitAfter(body, "\n")
	lines = lines[:len(lines)-1]
	suffix := "" // what follows the prefix, the same in all lines of one answer
	for i, line := range lines {
		prefix := fmt.Sprintf("chunk=%d/%d call=%s body=%s ", i+1, len(lines), callerID, digest)
		lineSuffix, ok := strings.CutPrefix(line, prefix)
		if !ok {
			return fmt.Errorf("line %d of %d is %q, want it to begin with %q", i+1, len(lines), line, prefix)
		}
		if i > 0 && lineSuffix != suffix {
			return fmt.Errorf("line %d of %d is from another answer: %q, want %q", i+1, len(lines), lineSuffix, suffix)
		}
		suffix = lineSuffix
	}
	return nil
}
