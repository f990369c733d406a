package logline

import (
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// TestDecode guards against a form of log line that is not read, or read with
// other values than the host wrote.
func TestDecode(t *testing.T) {
	clock := time.Date(2026, 10, 2, 3, 54, 31, 748e6, time.UTC)
	want := Line{
		Clock: clock, Level: "INFO", Part: "task", Action: "run lost", Subject: "5c0e7a21d94b36f8.0.1.17", Where: "i-7f3a91c2",
		Reason: `the "lease" expired`, Version: 2, Age: 84 * time.Millisecond,
	}
	text := `time=2026-10-02T03:54:31.748Z level=INFO msg="task: run lost" subject=5c0e7a21d94b36f8.0.1.17 where=i-7f3a91c2 reason="the \"lease\" expired" version=2 age_ms=84`
	document := `{"time":"2026-10-02T03:54:31.748Z","level":"INFO","msg":"task: run lost","subject":"5c0e7a21d94b36f8.0.1.17","where":"i-7f3a91c2","reason":"the \"lease\" expired","version":2,"age_ms":84}`
	simulated := want
	simulated.Simulated, simulated.SimTime, simulated.Host = true, -9250800*time.Microsecond, "front-a-1"
	for raw, want := range map[string]Line{
		text: want, document: want, "  -9.2508 front-a-1 " + text: simulated, "  -9.2508 front-a-1 " + document + "\r": simulated,
	} {
		if got, err := Decode([]byte(raw)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\ngot  %+v (error %v)\nwant %+v", raw, got, err, want)
		}
	}
}

// TestDecodeErrors guards against a damaged line that is taken for a log line, or
// whose error does not say what is wrong.
func TestDecodeErrors(t *testing.T) {
	for raw, want := range map[string]string{
		"":                                       ErrNoTime.Error(),
		"built in 8.5 s":                         "field name",
		`time=2026-10-02T03:54:31.748Z`:          ErrNoMessage.Error(),
		`time=yesterday msg="task: x"`:           `field time cannot be read: "yesterday"`,
		`time=2026-10-02T03:54:31Z msg="task: x`: "field msg",
		`time=2026-10-02T03:54:31Z msg="task: x" version=-1`:          "field version",
		`time=2026-10-02T03:54:31Z msg=x age_ms=9223372036854775807`:  "field age_ms",
		`{"time":"2026-10-02T03:54:31Z","msg":"task: x"`:              "field JSON",
		`{"time":"2026-10-02T03:54:31Z","msg":"task: x","age_ms":{}}`: "field age_ms",
	} {
		if _, err := Decode([]byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q in it", raw, err, want)
		}
	}
}

// FuzzDecode guards against a line that stops the decoder, and against a value
// that slog writes as text or JSON and that is read back changed.
func FuzzDecode(f *testing.F) {
	data, err := os.ReadFile("testdata/lines.txt")
	if err != nil {
		f.Fatal(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		line, err := Decode(raw)
		if err != nil {
			var field *FieldError
			if !errors.Is(err, ErrNoTime) && !errors.Is(err, ErrNoMessage) && !errors.As(err, &field) {
				t.Errorf("untyped error %v", err)
			}
			return
		}
		if year := line.Clock.Year(); !utf8.ValidString(line.Subject+line.Where+line.Reason) || year < 0 || year >= 10000 {
			return // slog writes replacement characters for these
		}
		checkRewritten(t, line)
	})
}

// checkRewritten writes a line with slog and decodes it again.
func checkRewritten(t *testing.T, line Line) {
	var out strings.Builder
	for _, h := range []slog.Handler{slog.NewTextHandler(&out, nil), slog.NewJSONHandler(&out, nil)} {
		out.Reset()
		r := slog.NewRecord(line.Clock, slog.LevelInfo, "task: x", 0)
		r.Add("subject", line.Subject, "where", line.Where, "reason", line.Reason, "version", line.Version, "age_ms", line.Age.Milliseconds())
		if err := h.Handle(t.Context(), r); err != nil {
			t.Fatal(err)
		}
		again, err := Decode([]byte(out.String()))
		if err != nil || again.Subject != line.Subject || again.Where != line.Where || again.Reason != line.Reason ||
			again.Version != line.Version || again.Age != line.Age {
			b, _ := json.Marshal(line)
			t.Errorf("%s written as %s is read as %+v (error %v)", b, out.String(), again, err)
		}
	}
}
