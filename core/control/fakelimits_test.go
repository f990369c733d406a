package control_test

import (
	"encoding/json"
	"fmt"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Bytes of an entry of a transaction besides its key and value, and of a row of a page.
const entryFrameBytes = 64

// overLimit returns which limit of the store a transaction is over, or an empty string.
func overLimit(f control.Commit) string {
	if n := len(f.Conditions) + len(f.Writes); n > structs.MaxTransactionEntries {
		return fmt.Sprintf("a transaction of %d entries", n)
	}
	size := 0
	for _, c := range f.Conditions {
		size += len(c.Key) + entryFrameBytes
	}
	for _, x := range f.Writes {
		value := encodedBytes(x.Row)
		switch {
		case len(x.Key) > structs.MaxKeyBytes:
			return fmt.Sprintf("a key of %d bytes, %q", len(x.Key), x.Key)
		case value > structs.MaxRowBytes:
			return fmt.Sprintf("a row of %d bytes, %q", value, x.Key)
		}
		size += len(x.Key) + value + entryFrameBytes
	}
	if size > structs.MaxTransactionBytes {
		return fmt.Sprintf("a transaction of %d bytes", size)
	}
	return ""
}

func encodedBytes(row structs.Row) int {
	if row == nil {
		return 0
	}
	encoded, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}
