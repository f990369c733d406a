package record

import (
	"encoding/json"
	"fmt"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// typedValue is the encoded form of an interface value: its type name and its
// content.
type typedValue struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// keyedRow is the encoded form of structs.KeyedRow. A nil Row is omitted.
type keyedRow struct {
	Key     structs.RowKey  `json:"key"`
	Version structs.Version `json:"version"`
	Row     *typedValue     `json:"row,omitempty"`
}

func encodeTyped(v any) (*typedValue, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return &typedValue{Type: typeName(v), Value: raw}, nil
}

func encodeKeyedRows(rows []structs.KeyedRow) ([]keyedRow, error) {
	if rows == nil {
		return nil, nil
	}
	out := make([]keyedRow, 0, len(rows))
	for _, r := range rows {
		k := keyedRow{Key: r.Key, Version: r.Version}
		if r.Row != nil {
			t, err := encodeTyped(r.Row)
			if err != nil {
				return nil, err
			}
			k.Row = t
		}
		out = append(out, k)
	}
	return out, nil
}

func decodeKeyedRows(rows []keyedRow) ([]structs.KeyedRow, error) {
	if rows == nil {
		return nil, nil
	}
	out := make([]structs.KeyedRow, 0, len(rows))
	for _, r := range rows {
		k := structs.KeyedRow{Key: r.Key, Version: r.Version}
		if r.Row != nil {
			row, err := rowTypes.decode(r.Row.Type, r.Row.Value)
			if err != nil {
				return nil, fmt.Errorf("row %q: %w", r.Key, err)
			}
			k.Row = row
		}
		out = append(out, k)
	}
	return out, nil
}

// The encoded forms of the events that contain interface values. The embedded
// event provides the other fields; the field declared here shadows the one that
// it cannot encode.

type committed struct {
	control.Committed
	Conflicts []keyedRow
}

type rowsRead struct {
	control.RowsRead
	Rows []keyedRow
}

type peerMessage struct {
	control.PeerMessage
	Message *typedValue
}

// encodedForm returns the value that is marshalled for an event.
func encodedForm(body control.EventBody) (any, error) {
	switch b := body.(type) {
	case control.Committed:
		rows, err := encodeKeyedRows(b.Conflicts)
		return committed{b, rows}, err
	case control.RowsRead:
		rows, err := encodeKeyedRows(b.Rows)
		return rowsRead{b, rows}, err
	case control.PeerMessage:
		m, err := encodeTyped(b.Message)
		return peerMessage{b, m}, err
	}
	return body, nil
}

func decodeCommitted(raw json.RawMessage) (control.EventBody, error) {
	var w committed
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	rows, err := decodeKeyedRows(w.Conflicts)
	w.Committed.Conflicts = rows
	return w.Committed, err
}

func decodeRowsRead(raw json.RawMessage) (control.EventBody, error) {
	var w rowsRead
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	rows, err := decodeKeyedRows(w.Rows)
	w.RowsRead.Rows = rows
	return w.RowsRead, err
}

func decodePeerMessage(raw json.RawMessage) (control.EventBody, error) {
	var w peerMessage
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	if w.Message == nil {
		return nil, fmt.Errorf("peer message without a message body")
	}
	m, err := messageTypes.decode(w.Message.Type, w.Message.Value)
	w.PeerMessage.Message = m
	return w.PeerMessage, err
}
