// Package logging writes log lines from a goroutine of its own, so that neither
// the control loop nor a traffic goroutine waits for the log's file.
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

// bufferBytes collects lines that are queued together into one write.
const bufferBytes = 16 << 10

// dropReportEvery spaces the lines that report dropped lines.
const dropReportEvery = time.Second

// Queue is a bounded queue of log lines. A line that finds it full is dropped
// and counted; the number is reported in the log when there is room again.
type Queue struct {
	lines   chan *line // pointers: records by value would hold 2.4 MB for 8,192 lines that rarely wait
	dropped atomic.Uint64
	ended   chan struct{}
	once    sync.Once
}

type line struct {
	handler slog.Handler
	record  slog.Record
}

// NewQueue returns a queue with room for a number of lines. Its goroutine ends
// with Close.
func NewQueue(room int) *Queue {
	return &Queue{lines: make(chan *line, room), ended: make(chan struct{})}
}

// Logger returns a logger that writes text lines to w through the queue.
func (q *Queue) Logger(w io.Writer, level slog.Leveler) *slog.Logger {
	buffer := bufio.NewWriterSize(w, bufferBytes)
	inner := slog.NewTextHandler(buffer, &slog.HandlerOptions{Level: level})
	go q.write(slog.New(inner), buffer)
	return slog.New(handler{queue: q, inner: inner})
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the lines that are queued, for at most the given time. Lines
// logged after it are dropped.
func (q *Queue) Close(limit time.Duration) {
	q.once.Do(func() {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		select {
		case q.lines <- &line{}: // marks the end
		case <-timer.C:
			return
		}
		select {
		case <-q.ended:
		case <-timer.C:
		}
	})
}

func (q *Queue) write(direct *slog.Logger, buffer *bufio.Writer) {
	defer close(q.ended)
	defer func() { _ = buffer.Flush() }() // there is nowhere to report a failing log
	var reported uint64
	var reportedAt time.Time
	for l := range q.lines {
		if d := q.dropped.Load(); d > reported && (l.handler == nil || time.Since(reportedAt) >= dropReportEvery) {
			direct.Warn("log: lines were dropped because the log queue was full", "dropped", d-reported)
			reported, reportedAt = d, time.Now()
		}
		if l.handler == nil {
			return
		}
		_ = l.handler.Handle(context.Background(), l.record) // there is nowhere to report a failing log
		if len(q.lines) == 0 {
			_ = buffer.Flush()
		}
	}
}

// handler puts records in the queue. Formatting happens in the queue's
// goroutine.
type handler struct {
	queue *Queue
	inner slog.Handler
}

// Enabled reports whether a level is logged.
func (h handler) Enabled(ctx context.Context, l slog.Level) bool { return h.inner.Enabled(ctx, l) }

// Handle queues a record. It never blocks and never fails.
func (h handler) Handle(_ context.Context, r slog.Record) error {
	select {
	case h.queue.lines <- &line{handler: h.inner, record: r.Clone()}:
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

// Scheduled logs one decision of the scheduler: the part as a prefix, then what
// was decided, and the inputs with their age and version.
func Scheduled(log *slog.Logger, d scheduler.Decision) {
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

// Decision logs one decision of the reducer: the part as a prefix, then what
// was decided, and the request or task that it belongs to.
func Decision(log *slog.Logger, d control.DecisionRecord) {
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
