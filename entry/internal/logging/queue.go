// Package logging writes log lines from a goroutine of its own, so that neither
// the control loop nor a traffic goroutine waits for the log file. It also sets
// the form of the lines that report decisions.
package logging

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/scheduler"
)

// bufferBytes is the size of the buffer that combines queued lines into one write.
const bufferBytes = 16 << 10

// dropReportInterval is the minimum time between lines that report dropped lines.
const dropReportInterval = time.Second

// Queue is a bounded queue of log lines. When it is full, further lines are
// dropped and counted; the count is logged when the queue has space again.
type Queue struct {
	lines   chan *queuedLine // pointers: with records by value, a queue of 8,192 lines would take 2.4 MB even when empty
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

type queuedLine struct {
	handler slog.Handler
	record  slog.Record
}

// NewQueue returns a queue that holds up to size lines. The goroutine that Logger
// starts ends with Close.
func NewQueue(size int) *Queue {
	return &Queue{lines: make(chan *queuedLine, size), done: make(chan struct{})}
}

// Formats are the names of the forms in which lines are written: key=value pairs, or a
// JSON object a line.
var Formats = []string{FormatText, FormatJSON}

// Names of the forms of lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

func newHandler(w io.Writer, level slog.Leveler, format string) slog.Handler {
	options := &slog.HandlerOptions{Level: level}
	if format == FormatJSON {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// Logger returns a logger that writes lines of one of Formats to w through the queue.
func (q *Queue) Logger(w io.Writer, level slog.Leveler, format string) *slog.Logger {
	buffer := bufio.NewWriterSize(w, bufferBytes)
	inner := newHandler(buffer, level, format)
	go q.write(slog.New(inner), buffer)
	return slog.New(handler{queue: q, inner: inner})
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close waits until the queued lines are written, at most for timeout. Lines
// logged after it are dropped.
func (q *Queue) Close(timeout time.Duration) {
	q.once.Do(func() {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case q.lines <- &queuedLine{}: // a line without a handler marks the end
		case <-timer.C:
			return
		}
		select {
		case <-q.done:
		case <-timer.C:
		}
	})
}

func (q *Queue) write(direct *slog.Logger, buffer *bufio.Writer) {
	defer close(q.done)
	defer func() { _ = buffer.Flush() }() // a failure to log cannot be reported
	var reported uint64
	var reportedAt time.Time
	for l := range q.lines {
		if d := q.dropped.Load(); d > reported && (l.handler == nil || time.Since(reportedAt) >= dropReportInterval) {
			direct.Warn("log: lines were dropped because the log queue was full", "dropped", d-reported)
			reported, reportedAt = d, time.Now()
		}
		if l.handler == nil {
			return
		}
		_ = l.handler.Handle(context.Background(), l.record) // a failure to log cannot be reported
		if len(q.lines) == 0 {
			_ = buffer.Flush()
		}
	}
}

// handler adds records to the queue, whose goroutine formats them.
type handler struct {
	queue *Queue
	inner slog.Handler
}

// Enabled reports whether a level is logged.
func (h handler) Enabled(ctx context.Context, l slog.Level) bool { return h.inner.Enabled(ctx, l) }

// Handle queues a record. It never blocks and never fails.
func (h handler) Handle(_ context.Context, r slog.Record) error {
	select {
	case h.queue.lines <- &queuedLine{handler: h.inner, record: r.Clone()}:
	default:
		h.queue.dropped.Add(1)
	}
	return nil
}

// WithAttrs returns a handler whose lines carry the attributes.
func (h handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return handler{queue: h.queue, inner: h.inner.WithAttrs(attrs)}
}

// WithGroup returns a handler whose attributes are in a group.
func (h handler) WithGroup(name string) slog.Handler {
	return handler{queue: h.queue, inner: h.inner.WithGroup(name)}
}

// LogSchedulerDecision logs one decision of the scheduler: the part as a prefix,
// then what was decided, and the inputs with their age and version.
func LogSchedulerDecision(log *slog.Logger, d scheduler.Decision) {
	attrs := make([]slog.Attr, 0, 5)
	add := func(key, value string) {
		if value != "" {
			attrs = append(attrs, slog.String(key, value))
		}
	}
	add("subject", d.Subject)
	add("where", d.Where)
	add("reason", d.Reason)
	if d.Number != 0 {
		attrs = append(attrs, slog.Uint64("version", d.Number))
	}
	if d.Age != 0 {
		attrs = append(attrs, slog.Int64("age_ms", d.Age.Milliseconds()))
	}
	log.LogAttrs(context.Background(), slog.LevelInfo, d.Part+": "+d.Action, attrs...)
}

// LogControlDecision logs one decision of the control reducer: the part as a
// prefix, then what was decided, and the request or task that it belongs to.
func LogControlDecision(log *slog.Logger, d control.DecisionRecord) {
	attrs := make([]slog.Attr, 0, 4)
	add := func(key, value string) {
		if value != "" {
			attrs = append(attrs, slog.String(key, value))
		}
	}
	add("subject", d.Subject)
	add("where", d.Where)
	add("reason", d.Reason)
	add("request", d.Request)
	log.LogAttrs(context.Background(), slog.LevelInfo, d.Part+": "+d.Action, attrs...)
}
