package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Unseen is something that the logs do not show, or show unreliably.
type Unseen struct {
	Host     string    // empty: no single host
	From, To time.Time // zero: no time
	Text     string
}

// maxClockDifference is the difference of clocks from which the order of lines of
// different hosts is in doubt.
const maxClockDifference = 250 * time.Millisecond

// findUnseen returns what the logs do not show of the subject.
func findUnseen(f Findings, g *Gather) []Unseen {
	s := g.survey
	if len(s.own) == 0 {
		return []Unseen{{Text: "no line names " + f.Subject.Name}}
	}
	unseen := unseenEvents(f)
	reference := s.referenceOffset()
	for _, host := range slices.Sorted(maps.Keys(s.hosts)) {
		unseen = append(unseen, g.unseenOfHost(host, reference)...)
	}
	unseen = append(unseen, g.unseenOfLeaders()...)
	for _, file := range slices.Sorted(maps.Keys(s.files)) {
		unseen = append(unseen, Unseen{Text: file + " holds lines of several hosts that do not name their host; leaders may be wrong"})
	}
	if n := s.dropped + g.dropped; n > 0 {
		unseen = append(unseen, Unseen{Text: fmt.Sprintf("%d more lines, which are beyond the limits of this command", n)})
	}
	return unseen
}

// unseenEvents returns what must have happened and has no line.
func unseenEvents(f Findings) []Unseen {
	var unseen []Unseen
	if _, ok := f.firstOf("request", "job accepted"); !ok && f.Subject.job() != "" {
		unseen = append(unseen, Unseen{Text: "no line shows that the job was accepted: its host's log was not given or begins later"})
	}
	withoutStart, withoutEnd := 0, 0
	for _, r := range f.Runs {
		if r.StartNotInLog {
			withoutStart++
		}
		if r.Outcome == "" {
			withoutEnd++
		}
	}
	if withoutStart > 0 {
		unseen = append(unseen, Unseen{Text: fmt.Sprintf("no line shows the start of %d of %d runs", withoutStart, len(f.Runs))})
	}
	if withoutEnd > 0 {
		unseen = append(unseen, Unseen{Text: fmt.Sprintf("no line shows the end of %d of %d runs", withoutEnd, len(f.Runs))})
	}
	return unseen
}

// unseenOfHost returns where the lines of a host do not cover the time of the
// subject, and what is wrong with its clock.
func (g *Gather) unseenOfHost(host string, reference time.Duration) []Unseen {
	h := g.survey.hosts[host]
	unseen := g.uncovered(host, h)
	for _, at := range h.dropped {
		if g.isNear(at) {
			unseen = append(unseen, Unseen{Host: host, From: at, To: at, Text: "reported dropped log lines"})
		}
	}
	if off := h.offset - reference; h.simulated && off.Abs() >= maxClockDifference {
		unseen = append(unseen, Unseen{Host: host, Text: fmt.Sprintf("its clock is %s off the others", off.Round(time.Millisecond))})
	}
	if h.drift >= maxClockDifference {
		unseen = append(unseen, Unseen{Host: host, Text: fmt.Sprintf("its clock changed by %s", h.drift.Round(time.Millisecond))})
	}
	if h.backwards >= maxClockDifference {
		unseen = append(unseen, Unseen{Host: host, Text: fmt.Sprintf("the time of its lines goes back by %s", h.backwards.Round(time.Millisecond))})
	}
	return unseen
}

// uncovered returns the parts of the subject's time without lines of a host.
func (g *Gather) uncovered(host string, h *hostLines) []Unseen {
	switch {
	case h.last.Before(g.from):
		return []Unseen{{Host: host, From: g.from, To: g.to, Text: "its last line is earlier"}}
	case h.first.After(g.to):
		return []Unseen{{Host: host, From: g.from, To: g.to, Text: "its first line is later"}}
	}
	var unseen []Unseen
	if h.first.Sub(g.from) >= minGap {
		unseen = append(unseen, Unseen{Host: host, From: g.from, To: h.first, Text: "has no line before"})
	}
	if gaps := g.gapsOf(host, h); len(gaps) > 0 {
		longest := slices.MaxFunc(gaps, func(a, b Gap) int { return cmp.Compare(a.To.Sub(a.From), b.To.Sub(b.From)) })
		text := "has no line"
		if len(gaps) > 1 {
			text = fmt.Sprintf("has %d gaps, the longest", len(gaps))
		}
		unseen = append(unseen, Unseen{Host: host, From: longest.From, To: longest.To, Text: text})
	}
	if g.to.Sub(h.last) >= minGap {
		unseen = append(unseen, Unseen{Host: host, From: h.last, To: g.to, Text: "has no line after"})
	}
	return unseen
}

// gapsOf returns the gaps in the lines of a host that meet the time of the subject. Of
// hosts that were not involved, only gaps over the whole time count.
func (g *Gather) gapsOf(host string, h *hostLines) []Gap {
	var gaps []Gap
	for _, gap := range h.gaps {
		meets := gap.To.After(g.from) && gap.From.Before(g.to)
		covers := !gap.From.After(g.from) && !gap.To.Before(g.to)
		if meets && (g.hosts[host] || covers) {
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// referenceOffset returns the median offset of the clocks from the simulated time.
func (s *Survey) referenceOffset() time.Duration {
	var offsets []time.Duration
	for _, h := range s.hosts {
		if h.simulated {
			offsets = append(offsets, h.offset)
		}
	}
	if len(offsets) == 0 {
		return 0
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}

// unseenOfLeaders returns the hosts that others name as leaders and whose logs were
// not given, and the leaders that were seen before they took the lead.
func (g *Gather) unseenOfLeaders() []Unseen {
	missing, taken := make(map[string]bool), make(map[leadKey]time.Time)
	entries := slices.Concat(g.survey.own, g.survey.leaders)
	for _, e := range entries {
		if e.Is("leader", "took the lead") {
			taken[leadKey{e.Where, e.Version}] = e.At
		}
	}
	var unseen []Unseen
	for _, e := range entries {
		if !e.Is("leader", "leader seen") || !g.isOfShard(e.Event) {
			continue
		}
		if g.survey.hosts[e.Subject] == nil && !missing[e.Subject] {
			missing[e.Subject] = true
			unseen = append(unseen, Unseen{Host: e.Subject, Text: "was seen as a leader and has no line; its log was not given"})
		}
		if at, ok := taken[leadKey{e.Where, e.Version}]; ok && at.Sub(e.At) >= maxClockDifference {
			unseen = append(unseen, Unseen{Host: e.Writer, Text: fmt.Sprintf(
				"saw %s lead %s before it took the lead: clocks differ by %s or more", e.Subject, e.Where, at.Sub(e.At).Round(time.Millisecond))})
		}
	}
	return unseen
}

// leadKey names one lead of a shard.
type leadKey struct {
	shard string
	epoch uint64
}
