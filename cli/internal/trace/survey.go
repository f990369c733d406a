package trace

import (
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

const (
	maxOwnEvents    = 200_000 // lines that name the subject
	maxLeaderEvents = 50_000  // lines of leaders, which name the leader of a shard
	maxGaps         = 200     // gaps of one host that are kept
	minGap          = 5 * time.Second
)

// Survey is the first of two passes over the logs. It collects the lines that name
// the subject, those that tell who led, and what each host's lines cover.
type Survey struct {
	subject Subject
	own     []Entry
	leaders []Entry
	read    int // events taken
	hosts   map[string]*hostLines
	files   map[string]bool // files with lines of several hosts that do not name their host
	dropped int             // lines of the subject or of leaders beyond the limits
}

// hostLines is what the lines of one host cover.
type hostLines struct {
	first, last time.Time
	lines       int
	gaps        []Gap
	dropped     []time.Time // when the host reported dropped lines
	backwards   time.Duration
	offset      time.Duration // of the host's clock from the simulated time, first seen
	drift       time.Duration // largest change of the offset
	simulated   bool
}

// Gap is a time without lines of a host.
type Gap struct{ From, To time.Time }

// NewSurvey returns the first pass for a subject.
func NewSurvey(subject Subject) *Survey {
	return &Survey{subject: subject, hosts: make(map[string]*hostLines), files: make(map[string]bool)}
}

// Add takes the next event.
func (s *Survey) Add(e logline.Event) {
	s.addHostLine(e)
	s.read++
	switch {
	case s.subject.names(e):
		s.own = s.appendBounded(s.own, Entry{Event: e, order: s.read}, maxOwnEvents)
	case e.Part == "leader":
		s.leaders = s.appendBounded(s.leaders, Entry{Event: e, order: s.read, Context: true}, maxLeaderEvents)
	}
}

func (s *Survey) appendBounded(events []Entry, e Entry, limit int) []Entry {
	if len(events) == limit {
		s.dropped++
		return events
	}
	return append(events, e)
}

func (s *Survey) addHostLine(e logline.Event) {
	if !e.Simulated && e.NamedHost != "" && e.NamedHost != e.Writer {
		s.files[e.File] = true
	}
	h := s.hosts[e.Writer]
	if h == nil {
		h = &hostLines{first: e.At, last: e.At, simulated: e.Simulated, offset: e.Clock.Sub(e.At)}
		s.hosts[e.Writer] = h
	}
	h.add(e)
}

func (h *hostLines) add(e logline.Event) {
	h.lines++
	step := e.At.Sub(h.last)
	if step >= minGap && len(h.gaps) < maxGaps {
		h.gaps = append(h.gaps, Gap{h.last, e.At})
	}
	h.backwards = max(h.backwards, -step)
	if e.At.After(h.last) {
		h.last = e.At
	}
	if e.At.Before(h.first) {
		h.first = e.At
	}
	if e.Part == "log" {
		h.dropped = append(h.dropped, e.At)
	}
	if h.simulated {
		h.drift = max(h.drift, (e.Clock.Sub(e.At) - h.offset).Abs())
	}
}

// span returns the times of the first and last line of the subject.
func (s *Survey) span() (from, to time.Time) {
	for i, e := range s.own {
		if i == 0 || e.At.Before(from) {
			from = e.At
		}
		if i == 0 || e.At.After(to) {
			to = e.At
		}
	}
	return from, to
}
