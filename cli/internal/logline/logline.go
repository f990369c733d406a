// Package logline decodes one line of a host's log. It knows the forms in which
// logs arrive: slog text, slog JSON, and either of them behind a simulated time
// and the name of the host. It reads nothing itself and keeps no state.
package logline

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Line is one decoded log line.
type Line struct {
	Clock     time.Time     // time of day by the clock of the host
	Simulated bool          // the line has a simulated time, in SimTime
	SimTime   time.Duration // time since the start of the simulated day
	Host      string        // host named in front of the line; empty: not named there
	NamedHost string        // host that the line itself shows as its writer; empty: none
	Level     string
	Part      string // part of the program before the colon of the message
	Action    string // rest of the message
	Subject   string
	Where     string
	Reason    string
	Version   uint64
	Age       time.Duration
}

// Errors of lines that are no log lines.
var (
	ErrNoTime    = errors.New("has no time")
	ErrNoMessage = errors.New("has no message")
)

// FieldError reports a field whose value cannot be decoded.
type FieldError struct {
	Field string
	Value string
}

// Error names the field and quotes the start of its value.
func (e *FieldError) Error() string {
	const maxShownBytes = 40
	shown := e.Value
	if len(shown) > maxShownBytes {
		shown = shown[:maxShownBytes] + "..."
	}
	return fmt.Sprintf("field %s cannot be read: %q", e.Field, shown)
}

// Decode decodes one line without its line break.
func Decode(raw []byte) (Line, error) {
	var l Line
	rest := cutPrefix(&l, bytes.TrimSpace(raw))
	var err error
	if bytes.HasPrefix(rest, []byte("{")) {
		err = decodeJSON(&l, rest)
	} else {
		err = decodeText(&l, string(rest))
	}
	if err != nil {
		return Line{}, err
	}
	if l.Clock.IsZero() {
		return Line{}, ErrNoTime
	}
	if l.Part == "" && l.Action == "" {
		return Line{}, ErrNoMessage
	}
	l.NamedHost = namedHost(l)
	return l, nil
}

// cutPrefix takes a simulated time in seconds and a host's name off the front of a
// line, and returns the rest. A line without both is returned unchanged.
func cutPrefix(l *Line, raw []byte) []byte {
	seconds, rest, ok := bytes.Cut(raw, []byte(" "))
	if !ok {
		return raw
	}
	simTime, err := strconv.ParseFloat(string(seconds), 64)
	const maxSeconds = 1e9 // keeps the time within the range of a time.Duration
	if err != nil || !(simTime > -maxSeconds && simTime < maxSeconds) {
		return raw
	}
	host, rest, ok := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !ok || bytes.ContainsAny(host, "={\"") {
		return raw
	}
	l.Simulated, l.SimTime, l.Host = true, time.Duration(simTime*float64(time.Second)), string(host)
	return bytes.TrimLeft(rest, " ")
}

// decodeText decodes a line of slog's text handler.
func decodeText(l *Line, text string) error {
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return &FieldError{Field: "name", Value: text}
		}
		value, rest, err := cutValue(key, rest)
		if err != nil {
			return err
		}
		if err := l.setField(key, value); err != nil {
			return err
		}
		text = strings.TrimLeft(rest, " ")
	}
	return nil
}

// cutValue takes a plain or quoted value off the front of a text.
func cutValue(key, text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", &FieldError{Field: key, Value: text}
	}
	value, err = strconv.Unquote(quoted)
	if err != nil {
		return "", "", &FieldError{Field: key, Value: text}
	}
	return value, text[len(quoted):], nil
}

// decodeJSON decodes a line of slog's JSON handler.
func decodeJSON(l *Line, raw []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return &FieldError{Field: "JSON", Value: string(raw)}
	}
	for _, key := range fieldNames {
		field, ok := fields[key]
		if !ok {
			continue
		}
		value := string(field)
		if strings.HasPrefix(value, `"`) {
			if err := json.Unmarshal(field, &value); err != nil {
				return &FieldError{Field: key, Value: value}
			}
		}
		if err := l.setField(key, value); err != nil {
			return err
		}
	}
	return nil
}

// fieldNames are the fields that a Line takes over.
var fieldNames = []string{"time", "level", "msg", "subject", "where", "reason", "version", "age_ms", "host"}

// setField sets one field by its name in the log. Other names are ignored.
func (l *Line) setField(key, value string) (err error) {
	switch key {
	case "time":
		l.Clock, err = time.Parse(time.RFC3339Nano, value)
	case "level":
		l.Level = value
	case "msg":
		l.Part, l.Action = splitMessage(value)
	case "subject":
		l.Subject = value
	case "where":
		l.Where = value
	case "reason":
		l.Reason = value
	case "version":
		l.Version, err = strconv.ParseUint(value, 10, 64)
	case "age_ms":
		l.Age, err = parseAge(value)
	case "host":
		l.NamedHost = value
	}
	if err != nil {
		return &FieldError{Field: key, Value: value}
	}
	return nil
}

func parseAge(value string) (time.Duration, error) {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, err
	}
	const maxMS = int64(1<<63-1) / int64(time.Millisecond)
	if ms > maxMS || ms < -maxMS {
		return 0, strconv.ErrRange
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// splitMessage splits a message into the part before its first colon and the action.
func splitMessage(message string) (part, action string) {
	part, action, ok := strings.Cut(message, ": ")
	if !ok || strings.Contains(part, " ") {
		return "", message
	}
	return part, action
}

// namedHost returns the host that wrote a line, where the line shows it.
func namedHost(l Line) string {
	switch {
	case l.Part == "host" && l.NamedHost != "":
		return l.NamedHost
	case l.Part == "host" && l.Action == "started", l.Part == "config" && l.Action == "configuration in force":
		return l.Subject
	case l.Part == "leader" && (l.Action == "took the lead" || l.Action == "gave up the lead"):
		return l.Subject
	}
	return ""
}
