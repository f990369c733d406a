package sheet

import (
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// The functions below parse the cells of the columns. Each gets a cell that is not
// empty and stores its value in the row, or returns its fault. Limits are checked
// later by checkRow, which also checks rows from other encodings.

func readName(text string, _ format, row *structs.SheetRow) *columnFault {
	row.Name = text
	return nil
}

func readTeam(text string, _ format, row *structs.SheetRow) *columnFault {
	row.Team = text
	return nil
}

func readCommand(text string, _ format, row *structs.SheetRow) *columnFault {
	row.Command = text
	return nil
}

func readKind(text string, _ format, row *structs.SheetRow) *columnFault {
	kind, ok := kindWords[wordKey(text)]
	if !ok {
		return &columnFault{colKind, "not a kind of row", acceptedKinds}
	}
	row.Kind = kind
	return nil
}

func readImportance(text string, _ format, row *structs.SheetRow) *columnFault {
	level, ok := importanceWords[wordKey(text)]
	if !ok {
		return &columnFault{colImportance, "not a level of importance", acceptedImportance}
	}
	row.Importance = level
	return nil
}

func readIdempotent(text string, _ format, row *structs.SheetRow) *columnFault {
	yes, ok := yesNoWords[wordKey(text)]
	if !ok {
		return &columnFault{colIdempotent, "neither yes nor no", acceptedYesNo}
	}
	row.Idempotent = yes
	return nil
}

func readCount(text string, f format, row *structs.SheetRow) *columnFault {
	n, reason := parseWhole(text, f)
	if reason != "" {
		return &columnFault{colCount, reason, acceptedCount}
	}
	row.Count = n
	return nil
}

func readCores(text string, f format, row *structs.SheetRow) *columnFault {
	v, reason := parseDecimal(text, f)
	if reason != "" {
		return &columnFault{colCores, reason, f.show(acceptedCores)}
	}
	row.Request.MilliCores = scaleUp(v, 1000, millionthsPerOne)
	return nil
}

func readMemory(text string, f format, row *structs.SheetRow) *columnFault {
	mb, reason := parseMegabytes(text, f)
	if reason != "" {
		return &columnFault{colMemory, reason, f.show(acceptedMemory)}
	}
	row.Request.MemoryMB = mb
	return nil
}

func readAccelerators(text string, f format, row *structs.SheetRow) *columnFault {
	n, reason := parseWhole(text, f)
	if reason != "" {
		return &columnFault{colAccelerators, reason, acceptedAccelerator}
	}
	row.Request.Accelerators = int64(n)
	return nil
}

func readRunTime(text string, f format, row *structs.SheetRow) *columnFault {
	ms, reason := parseDurationMS(text, f)
	if reason == "" && ms == 0 {
		reason = "the run time is zero; leave it empty when it is not known"
	}
	if reason != "" {
		return &columnFault{colRunTime, reason, acceptedDuration}
	}
	row.RunTimeMS = ms
	return nil
}

func readLatencyTarget(text string, f format, row *structs.SheetRow) *columnFault {
	ms, reason := parseDurationMS(text, f)
	if reason == "" && ms == 0 {
		reason = "the latency target is zero; leave it empty when there is none"
	}
	if reason != "" {
		return &columnFault{colLatencyTarget, reason, acceptedDuration}
	}
	row.LatencyTargetMS = ms
	return nil
}

// localLayouts are the layouts of deadlines without offset. Dates with points have
// the day first in every country; dates with slashes are not accepted, because the
// order of day and month depends on the country.
var localLayouts = []string{
	"2006-01-02 15:04", "2006-01-02 15:04:05", "2006-01-02T15:04", "2006-01-02T15:04:05",
	"2.1.2006 15:04", "2.1.2006 15:04:05",
}

func readDeadline(text string, f format, row *structs.SheetRow) *columnFault {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		row.DeadlineUnixMS = t.UnixMilli()
		return nil
	}
	plain := strings.Join(strings.Fields(strings.Replace(text, "г.", "", 1)), " ")
	for _, layout := range localLayouts {
		if _, err := time.Parse(layout, plain); err == nil {
			return readLocalDeadline(layout, plain, f, row)
		}
	}
	return &columnFault{colDeadline, "not a date with a time", acceptedDeadline}
}

// ReasonNoTimeZone is the reason of the faults that Parse reports only because it was
// given no time zone.
const ReasonNoTimeZone = "the deadline has no offset and no time zone is set"

// readLocalDeadline parses a deadline without offset. A local time that occurs
// twice, because clocks are set back, means the earlier of the two.
func readLocalDeadline(layout, text string, f format, row *structs.SheetRow) *columnFault {
	if f.zone == nil {
		return &columnFault{colDeadline, ReasonNoTimeZone, "a time zone for the sheet, or 2026-12-05T04:30:00+02:00"}
	}
	t, err := time.ParseInLocation(layout, text, f.zone)
	if err != nil {
		return &columnFault{colDeadline, "not a date with a time", acceptedDeadline}
	}
	wall, _ := time.Parse(layout, text)
	if t.Format(time.DateTime) != wall.Format(time.DateTime) {
		return &columnFault{colDeadline, "this local time does not exist: clocks are set forward then", acceptedDeadline}
	}
	if earlier := t.Add(-time.Hour); earlier.Format(time.DateTime) == wall.Format(time.DateTime) {
		t = earlier
	}
	row.DeadlineUnixMS = t.UnixMilli()
	return nil
}

// show returns a text of accepted values with the decimal separator of the file.
func (f format) show(accepted string) string {
	if f.decimalComma {
		return strings.ReplaceAll(accepted, "1.5", "1,5")
	}
	return accepted
}
