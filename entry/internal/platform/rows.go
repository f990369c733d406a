// Package platform executes effects against the platform: the table service, the
// object store and the host list. It converts rows to and from their stored form
// and makes no decisions.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// rowDecoder decodes the rows under one key prefix.
type rowDecoder struct {
	prefix string
	decode func(json.RawMessage) (structs.Row, error)
}

var rowDecoders = []rowDecoder{
	{structs.PartitionPrefix, decodeAs[structs.PartitionRow]},
	{structs.TaskPrefix, decodeAs[structs.TaskRow]},
	{structs.InboxPrefix, decodeAs[structs.TaskRow]},
	{structs.WorkerPrefix, decodeAs[structs.WorkerRow]},
	{structs.ClaimPrefix, decodeAs[structs.ClaimRow]},
	{structs.EntryHostPrefix, decodeAs[structs.EntryHostRow]},
	{structs.GenerationPrefix, decodeAs[structs.ConfigHead]},
	{string(structs.ConfigHeadKey), decodeAs[structs.ConfigHead]},
}

func decodeAs[T structs.Row](raw json.RawMessage) (structs.Row, error) {
	var row T
	err := json.Unmarshal(raw, &row)
	return row, err
}

// decodeRow decodes a row into its type. A row that cannot be decoded is passed on as
// UnreadableRow: leaving it out could hide a commitment or a claim, and failing the call
// would hold up all other rows.
func decodeRow(r wire.Row) structs.KeyedRow {
	kr := structs.KeyedRow{Key: structs.RowKey(r.Key), Version: structs.Version(r.Version)}
	if isAbsent(r) {
		return kr
	}
	kr.Row = structs.UnreadableRow{}
	for _, k := range rowDecoders {
		if !kr.Key.HasPrefix(k.prefix) {
			continue
		}
		if row, err := k.decode(r.Value); err == nil {
			kr.Row = row
		}
		break
	}
	return kr
}

func isAbsent(r wire.Row) bool {
	return r.Version == 0 || len(r.Value) == 0 || bytes.Equal(r.Value, []byte("null"))
}

func decodeRows(rows []wire.Row) []structs.KeyedRow {
	decoded := make([]structs.KeyedRow, 0, len(rows))
	for _, r := range rows {
		decoded = append(decoded, decodeRow(r))
	}
	return decoded
}

func encodeWrites(writes []structs.Write) ([]wire.Write, error) {
	encoded := make([]wire.Write, 0, len(writes))
	for _, w := range writes {
		if w.Row == nil {
			encoded = append(encoded, wire.Write{Key: string(w.Key), Delete: true})
			continue
		}
		value, err := json.Marshal(w.Row)
		if err != nil {
			return nil, fmt.Errorf("row %q: %w", w.Key, err)
		}
		encoded = append(encoded, wire.Write{Key: string(w.Key), Value: value})
	}
	return encoded, nil
}

func encodeConditions(conditions []structs.Condition) []wire.Condition {
	encoded := make([]wire.Condition, 0, len(conditions))
	for _, c := range conditions {
		encoded = append(encoded, wire.Condition{Key: string(c.Key), Version: uint64(c.Version)})
	}
	return encoded
}
