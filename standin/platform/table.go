package platform

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Sizes of parts of calls besides keys and values, in bytes.
const entryFrameBytes = 64

// overLimit returns which limit a transaction is over, or an empty string.
func overLimit(r wire.CommitRequest) string {
	if n := len(r.Conditions) + len(r.Writes); n > structs.MaxTransactionEntries {
		return fmt.Sprintf("a transaction has %d entries", n)
	}
	size := 0
	for _, c := range r.Conditions {
		if len(c.Key) > structs.MaxKeyBytes {
			return fmt.Sprintf("a key has %d bytes", len(c.Key))
		}
		size += len(c.Key) + entryFrameBytes
	}
	for _, w := range r.Writes {
		switch {
		case len(w.Key) > structs.MaxKeyBytes:
			return fmt.Sprintf("a key has %d bytes", len(w.Key))
		case len(w.Value) > structs.MaxRowBytes:
			return fmt.Sprintf("row %s has %d bytes", w.Key, len(w.Value))
		}
		size += len(w.Key) + len(w.Value) + entryFrameBytes
	}
	if size > structs.MaxTransactionBytes {
		return fmt.Sprintf("a transaction has %d bytes", size)
	}
	return ""
}

// table is the table service. One global revision counts transactions; a row's
// version is the revision of its last write, and 0 means absent. A row that is
// written again after a deletion gets a new version, never an old one.
type table struct {
	revision uint64
	rows     map[string]wire.Row
	keys     []string // sorted
}

func newTable() table { return table{rows: make(map[string]wire.Row)} }

// get returns the row, or one with version 0 if it is absent.
func (t *table) get(key string) wire.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return wire.Row{Key: key}
}

// commit applies all writes if all conditions hold. Otherwise it applies none and
// returns the rows whose conditions failed.
func (t *table) commit(r wire.CommitRequest) []wire.Row {
	var conflicts []wire.Row
	for _, c := range r.Conditions {
		if row := t.get(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	t.revision++
	for _, w := range r.Writes {
		t.write(w)
	}
	return nil
}

func (t *table) write(w wire.Write) {
	i, present := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if present {
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !present {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.rows[w.Key] = wire.Row{Key: w.Key, Version: t.revision, Value: w.Value}
}

// list returns up to limit rows that have the prefix and sort after the key, in
// key order, and whether there are more. A page is shorter where the rows are large.
func (t *table) list(prefix, after string, limit int) (rows []wire.Row, more bool) {
	if limit <= 0 || limit > structs.MaxPageRows {
		limit = structs.MaxPageRows
	}
	size := 0
	first := sort.Search(len(t.keys), func(i int) bool { return t.keys[i] >= prefix && t.keys[i] > after })
	for _, key := range t.keys[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		row := t.rows[key]
		size += len(key) + len(row.Value) + entryFrameBytes
		if len(rows) == limit || len(rows) > 0 && size > structs.MaxPageBytes {
			return rows, true
		}
		rows = append(rows, row)
	}
	return rows, false
}
