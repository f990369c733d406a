// Package logread reads log files as streams, puts their lines in one order by
// time, and reports what cannot be read. Memory does not grow with the size of
// the files. What the lines mean is decided by packages trace and figures.
package logread

import (
	"bufio"
	"bytes"
	"container/heap"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

const (
	// StandardInput is the name of standard input among the files.
	StandardInput = "-"

	bufferBytes  = 64 << 10 // also the longest line that is read
	maxNameLines = 50_000   // lines that are searched for the name of a file's host
	maxBadLines  = 3        // lines of a file that are reported with their reason
)

// BadLine is a line that is no log line.
type BadLine struct {
	Number int    `json:"line"`
	Reason string `json:"reason"`
}

// FileReport says what was read of one file.
type FileReport struct {
	File  string    `json:"file"`
	Lines int       `json:"lines"`           // log lines
	Bad   int       `json:"bad"`             // lines that are no log lines
	First []BadLine `json:"first,omitempty"` // the first bad lines
	Error string    `json:"error,omitempty"` // why the file was not read, or not to its end
}

// Errors of lines that are no log lines of their file.
var (
	errLineTooLong = errors.New("is longer than 64 KB")
	errNoSimTime   = errors.New("has no simulated time, as the other lines of its file have")
)

// Set is a set of opened log files.
type Set struct {
	files []*file
	epoch time.Time // time of day at simulated time 0
}

type file struct {
	report FileReport
	path   string // differs from the reported name for standard input
	host   string // host that wrote the file, where its lines do not name one each
	sim    bool   // lines have a simulated time and the name of their host
	stdin  bool
}

// Open finds the host of each file. Standard input is copied to a temporary file,
// since files are read more than once; Close removes it. A file that cannot be
// read is reported by Visit.
func Open(names []string, stdin io.Reader) (*Set, error) {
	s := &Set{}
	for _, name := range names {
		f := &file{path: name, host: strings.TrimSuffix(filepath.Base(name), ".log"), report: FileReport{File: name}}
		s.files = append(s.files, f)
		if name == StandardInput {
			var err error
			if f.path, err = spool(stdin); err != nil {
				s.Close()
				return nil, err
			}
			f.stdin = true
		}
		s.identify(f)
	}
	return s, nil
}

// Close removes the copy of standard input.
func (s *Set) Close() {
	for _, f := range s.files {
		if f.stdin {
			_ = os.Remove(f.path) // a copy that stays is in the folder for temporary files
		}
	}
}

// spool copies a stream to a temporary file and returns its path.
func spool(r io.Reader) (path string, err error) {
	errorBuilder := oops.In("logread").With("step", "copy standard input")
	f, err := os.CreateTemp("", "tamarackctl-*.log")
	if err != nil {
		return "", errorBuilder.Wrap(err)
	}
	_, err = io.Copy(f, r)
	if err = errors.Join(err, f.Close()); err != nil {
		return "", errorBuilder.Wrap(errors.Join(err, os.Remove(f.Name())))
	}
	return f.Name(), nil
}

// identify searches the start of a file for the name of its host and for the
// time of day at simulated time 0.
func (s *Set) identify(f *file) {
	c, err := open(f)
	if err != nil {
		return // Visit reports it
	}
	defer c.close()
	for range maxNameLines {
		line, err := c.next()
		if isEnd(err) {
			return
		}
		if line.Simulated {
			f.sim = true
			if s.epoch.IsZero() {
				s.epoch = line.Clock.Add(-line.SimTime)
			}
			return
		}
		if line.NamedHost != "" && !f.stdin {
			f.host = line.NamedHost
			return
		}
	}
}

// isEnd reports whether nothing more can be read after an error: the file has
// ended or failed. After a bad line reading goes on.
func isEnd(err error) bool {
	var failed readError
	return errors.Is(err, io.EOF) || errors.As(err, &failed)
}

// Visit reads all files from their start and passes their lines on, ordered by
// time as far as each file is. It may be called again.
func (s *Set) Visit(visit func(logline.Event)) []FileReport {
	var heads headHeap
	for _, f := range s.files {
		f.report = FileReport{File: f.report.File}
		c, err := open(f)
		if err != nil {
			f.report.Error = err.Error()
			continue
		}
		defer c.close()
		heads = s.push(heads, c, f)
	}
	heap.Init(&heads)
	for len(heads) > 0 {
		head := heads[0]
		visit(head.event)
		if event, ok := s.nextEvent(head.cursor, head.file); ok {
			heads[0].event = event
			heap.Fix(&heads, 0)
		} else {
			heap.Pop(&heads)
		}
	}
	reports := make([]FileReport, 0, len(s.files))
	for _, f := range s.files {
		reports = append(reports, f.report)
	}
	return reports
}

func (s *Set) push(heads headHeap, c *cursor, f *file) headHeap {
	if event, ok := s.nextEvent(c, f); ok {
		return append(heads, head{event: event, cursor: c, file: f})
	}
	return heads
}

// nextEvent returns the next log line of a file and counts the bad lines before it.
func (s *Set) nextEvent(c *cursor, f *file) (event logline.Event, ok bool) {
	for {
		line, err := c.next()
		if errors.Is(err, io.EOF) {
			return event, false
		}
		var failed readError
		if errors.As(err, &failed) {
			f.report.Error = err.Error()
			return event, false
		}
		if err == nil && f.sim && !line.Simulated {
			err = errNoSimTime // the line before it was torn
		}
		if err != nil {
			f.report.addBadLine(c.number, err)
			continue
		}
		f.report.Lines++
		return s.place(line, f), true
	}
}

func (r *FileReport) addBadLine(number int, reason error) {
	r.Bad++
	if len(r.First) < maxBadLines {
		r.First = append(r.First, BadLine{Number: number, Reason: reason.Error()})
	}
}

// place gives a line its time and its host.
func (s *Set) place(line logline.Line, f *file) logline.Event {
	event := logline.Event{Line: line, At: line.Clock, Writer: f.host, File: f.report.File}
	if line.Simulated {
		event.At, event.Writer = s.epoch.Add(line.SimTime), line.Host
	}
	return event
}

// cursor reads the lines of one file.
type cursor struct {
	closer io.Closer
	reader *bufio.Reader
	number int // of the line read last
}

// readError is an error of the file, not of one line.
type readError struct{ error }

func open(f *file) (*cursor, error) {
	opened, err := os.Open(f.path)
	if err != nil {
		return nil, oops.In("logread").With("step", "open log").Wrap(err)
	}
	return &cursor{closer: opened, reader: bufio.NewReaderSize(opened, bufferBytes)}, nil
}

func (c *cursor) close() { _ = c.closer.Close() } // nothing was written

// next decodes the next line that is not empty.
func (c *cursor) next() (logline.Line, error) {
	for {
		raw, isPrefix, err := c.reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return logline.Line{}, err
		}
		if err != nil {
			return logline.Line{}, readError{oops.In("logread").With("step", "read log").Wrap(err)}
		}
		c.number++
		if isPrefix {
			return logline.Line{}, c.skipRest()
		}
		if len(bytes.TrimSpace(raw)) > 0 {
			return logline.Decode(raw)
		}
	}
}

// skipRest skips the rest of a line that is too long.
func (c *cursor) skipRest() error {
	for {
		if _, isPrefix, err := c.reader.ReadLine(); err != nil || !isPrefix {
			return errLineTooLong
		}
	}
}

type head struct {
	event  logline.Event
	cursor *cursor
	file   *file
}

// headHeap orders the next events of the files by time, then by file.
type headHeap []head

func (h headHeap) Len() int      { return len(h) }
func (h headHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h headHeap) Less(i, j int) bool {
	if !h[i].event.At.Equal(h[j].event.At) {
		return h[i].event.At.Before(h[j].event.At)
	}
	return h[i].event.File < h[j].event.File
}

// Push implements heap.Interface.
func (h *headHeap) Push(x any) { *h = append(*h, x.(head)) }

// Pop implements heap.Interface.
func (h *headHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
