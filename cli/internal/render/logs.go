package render

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
	"github.com/tamarackstep/tamarackstep/cli/internal/logread"
)

// clock formats times of logs: as seconds of the simulated day where the logs have
// simulated times, otherwise as the time of day in UTC.
type clock struct {
	simulated bool
	epoch     time.Time // time of day at simulated time 0
}

// clockOf returns the clock of logs with this event.
func clockOf(e logline.Event) clock {
	return clock{simulated: e.Simulated, epoch: e.At.Add(-e.SimTime)}
}

// format formats a time; a zero time is "-".
func (c clock) format(at time.Time) string {
	switch {
	case at.IsZero():
		return "-"
	case c.simulated:
		return fmt.Sprintf("%.3f", at.Sub(c.epoch).Seconds())
	}
	return at.UTC().Format("15:04:05.000")
}

// document returns a time for JSON, or an empty text for a zero time.
func (c clock) document(at time.Time) string {
	switch {
	case at.IsZero():
		return ""
	case c.simulated:
		return c.format(at)
	}
	return at.UTC().Format("2006-01-02T15:04:05.000Z07:00")
}

// fileNotes returns one line for each file with lines that could not be read, or
// that could not be read itself.
func fileNotes(files []logread.FileReport) []string {
	var notes []string
	for _, f := range files {
		name := f.File
		if name == logread.StandardInput {
			name = "standard input"
		}
		if f.Error != "" {
			notes = append(notes, oneLine(name+": "+f.Error))
		}
		if f.Bad > 0 {
			first := f.First[0]
			notes = append(notes, oneLine(fmt.Sprintf("%s: %s skipped that %s no log line; the first is line %d: %s",
				name, countNoun(f.Bad, "line"), isOrAre(f.Bad), first.Number, first.Reason)))
		}
	}
	return notes
}

func isOrAre(n int) string {
	if n == 1 {
		return "is"
	}
	return "are"
}

// logsExitStatus is the exit status of a command that reads logs: the files that
// could be read are reported also when another one could not.
func logsExitStatus(files []logread.FileReport) int {
	for _, f := range files {
		if f.Error != "" {
			return ExitUsage
		}
	}
	return ExitDone
}

// formatSeconds formats a duration in seconds.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }
