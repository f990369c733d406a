package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/tamarackstep/tamarackstep/core/control"
)

// maxLineBytes bounds the length of one recorded event. The largest events
// contain a configuration.
const maxLineBytes = 64 << 20

// eventLine is the encoded form of one event.
type eventLine struct {
	At   control.Instant `json:"at"`
	Wall int64           `json:"wall"`
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// Writer records events. It is not safe for concurrent use.
type Writer struct {
	out io.Writer
	err error // first error; nothing is written after it
}

// NewWriter returns a Writer that writes one line for each event.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write records an event. After an error it records nothing; see Err.
func (w *Writer) Write(ev control.Event) {
	if w.err != nil {
		return
	}
	text, err := encode(ev)
	if err == nil {
		_, err = w.out.Write(text)
	}
	w.err = err
}

// Err returns the first error of Write.
func (w *Writer) Err() error { return w.err }

func encode(ev control.Event) ([]byte, error) {
	form, err := encodedForm(ev.Body)
	if err != nil {
		return nil, fmt.Errorf("event %s: %w", typeName(ev.Body), err)
	}
	body, err := json.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("event %s: %w", typeName(ev.Body), err)
	}
	text, err := json.Marshal(eventLine{At: ev.At, Wall: ev.Wall, Type: typeName(ev.Body), Body: body})
	return append(text, '\n'), err
}

// Reader reads recorded events.
type Reader struct {
	lines  *bufio.Scanner
	number int // of the last line read, from 1
}

// NewReader returns a Reader of events that a Writer recorded.
func NewReader(in io.Reader) *Reader {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	return &Reader{lines: lines}
}

// Next returns the next event, or io.EOF after the last one. Other errors contain
// the line number.
func (r *Reader) Next() (control.Event, error) {
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return control.Event{}, fmt.Errorf("line %d: %w", r.number+1, err)
		}
		return control.Event{}, io.EOF
	}
	r.number++
	ev, err := decode(r.lines.Bytes())
	if err != nil {
		return control.Event{}, fmt.Errorf("line %d: %w", r.number, err)
	}
	return ev, nil
}

func decode(text []byte) (control.Event, error) {
	var l eventLine
	if err := json.Unmarshal(text, &l); err != nil {
		return control.Event{}, err
	}
	body, err := eventTypes.decode(l.Type, l.Body)
	if err != nil {
		return control.Event{}, err
	}
	return control.Event{At: l.At, Wall: l.Wall, Body: body}, nil
}

// effectLine is the encoded form of one effect.
type effectLine struct {
	Event  int            `json:"event"` // number of the event that caused it, from 1
	Type   string         `json:"type"`
	Effect control.Effect `json:"effect"`
}

// Replay applies recorded events to a new reducer and writes the effects as JSON
// lines. It returns the number of events applied.
func Replay(in io.Reader, out io.Writer) (int, error) {
	reader, state := NewReader(in), control.NewState()
	for n := 0; ; n++ {
		ev, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		if err := WriteEffects(out, n+1, control.Reduce(state, ev)); err != nil {
			return n, err
		}
	}
}

// WriteEffects writes the effects of one event as JSON lines. event is the number
// of the event, from 1.
func WriteEffects(out io.Writer, event int, effects []control.Effect) error {
	for _, e := range effects {
		text, err := json.Marshal(effectLine{Event: event, Type: typeName(e), Effect: e})
		if err != nil {
			return fmt.Errorf("effect %s: %w", typeName(e), err)
		}
		if _, err := out.Write(append(text, '\n')); err != nil {
			return err
		}
	}
	return nil
}
