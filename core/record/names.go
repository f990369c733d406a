package record

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// decoders maps the names of the types that implement T to their decoders.
type decoders[T any] map[string]func(json.RawMessage) (T, error)

// decodeAs decodes a value of type V, which must implement T.
func decodeAs[T, V any](raw json.RawMessage) (T, error) {
	var v V
	err := json.Unmarshal(raw, &v)
	t, _ := any(v).(T)
	return t, err
}

// decode decodes a value of the named type.
func (d decoders[T]) decode(name string, raw json.RawMessage) (T, error) {
	decode, ok := d[name]
	if !ok {
		var none T
		return none, fmt.Errorf("unknown type %q", name)
	}
	return decode(raw)
}

var rowTypes = decoders[structs.Row]{
	"PartitionRow": decodeAs[structs.Row, structs.PartitionRow],
	"TaskRow":      decodeAs[structs.Row, structs.TaskRow],
	"WorkerRow":    decodeAs[structs.Row, structs.WorkerRow],
	"ClaimRow":     decodeAs[structs.Row, structs.ClaimRow],
	"ConfigHead":   decodeAs[structs.Row, structs.ConfigHead],
	"EntryHostRow": decodeAs[structs.Row, structs.EntryHostRow],

	"UnreadableRow": decodeAs[structs.Row, structs.UnreadableRow],
}

var messageTypes = decoders[control.Message]{
	"Heartbeat":        decodeAs[control.Message, control.Heartbeat],
	"Endpoints":        decodeAs[control.Message, control.Endpoints],
	"EndpointsRequest": decodeAs[control.Message, control.EndpointsRequest],
	"ConfigPush":       decodeAs[control.Message, control.ConfigPush],
	"ConfigDelta":      decodeAs[control.Message, control.ConfigDelta],
	"ConfigRequest":    decodeAs[control.Message, control.ConfigRequest],
	"Transferred":      decodeAs[control.Message, control.Transferred],
	"Released":         decodeAs[control.Message, control.Released],
}

var eventTypes = decoders[control.EventBody]{
	"Started":          decodeAs[control.EventBody, control.Started],
	"TimerFired":       decodeAs[control.EventBody, control.TimerFired],
	"Committed":        decodeCommitted,
	"RowsRead":         decodeRowsRead,
	"ObjectWritten":    decodeAs[control.EventBody, control.ObjectWritten],
	"ObjectRead":       decodeAs[control.EventBody, control.ObjectRead],
	"ObjectDeleted":    decodeAs[control.EventBody, control.ObjectDeleted],
	"HostListRead":     decodeAs[control.EventBody, control.HostListRead],
	"WorkerSynced":     decodeAs[control.EventBody, control.WorkerSynced],
	"CommandDone":      decodeAs[control.EventBody, control.CommandDone],
	"PeerMessage":      decodePeerMessage,
	"PeerSent":         decodeAs[control.EventBody, control.PeerSent],
	"CallArrived":      decodeAs[control.EventBody, control.CallArrived],
	"CallerGone":       decodeAs[control.EventBody, control.CallerGone],
	"AnswerStarted":    decodeAs[control.EventBody, control.AnswerStarted],
	"AnswerFinished":   decodeAs[control.EventBody, control.AnswerFinished],
	"ApplyRequested":   decodeAs[control.EventBody, control.ApplyRequested],
	"StopRequested":    decodeAs[control.EventBody, control.StopRequested],
	"StatusRequested":  decodeAs[control.EventBody, control.StatusRequested],
	"ExplainRequested": decodeAs[control.EventBody, control.ExplainRequested],
	"DrainRequested":   decodeAs[control.EventBody, control.DrainRequested],
}

// typeName returns the name of a value's type without its package.
func typeName(v any) string { return reflect.TypeOf(v).Name() }
