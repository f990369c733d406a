package render

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// field is one value of a sheet row under the name of its column, both as the
// sheet writes them.
type field struct{ column, value string }

// fieldsOf returns the values of a row in the order of the sheet's columns. An
// absent value is empty. timeZone is used for deadlines; nil means UTC.
func fieldsOf(r structs.SheetRow, timeZone *time.Location) []field {
	return []field{
		{"kind", string(r.Kind)},
		{"team", oneLine(r.Team)},
		{"command", oneLine(r.Command)},
		{"importance", formatImportance(r.Importance)},
		{"count", emptyIfZero(int64(r.Count), strconv.Itoa(r.Count))},
		{"cores", formatThousandths(r.Request.MilliCores)},
		{"memory", formatMemory(r.Request.MemoryMB)},
		{"accelerators", emptyIfZero(r.Request.Accelerators, strconv.FormatInt(r.Request.Accelerators, 10))},
		{"deadline", emptyIfZero(r.DeadlineUnixMS, formatDeadline(r.DeadlineUnixMS, timeZone))},
		{"run time", emptyIfZero(r.RunTimeMS, formatDuration(r.RunTimeMS))},
		{"latency target", emptyIfZero(r.LatencyTargetMS, formatDuration(r.LatencyTargetMS))},
		{"idempotent", yesNo(r.Idempotent)},
	}
}

// describeRow returns the values of a row, without its command, in one line.
func describeRow(r structs.SheetRow, timeZone *time.Location) string {
	var parts []string
	for _, f := range fieldsOf(r, timeZone) {
		switch {
		case f.value == "" || f.column == "idempotent" && !r.Idempotent:
		case f.column == "command" || f.column == "importance" && r.Kind == structs.KindTeam:
		case f.column == "kind" || f.column == "importance":
			parts = append(parts, f.value)
		case f.column == "idempotent":
			parts = append(parts, f.column)
		default:
			parts = append(parts, f.column+" "+f.value)
		}
	}
	return strings.Join(parts, ", ")
}

// describeDifferences returns, in one line, the old and new values that differ
// between two versions of a row.
func describeDifferences(before, after structs.SheetRow, timeZone *time.Location) string {
	var parts []string
	oldFields, newFields := fieldsOf(before, timeZone), fieldsOf(after, timeZone)
	for i := range oldFields {
		if oldFields[i].value != newFields[i].value {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", oldFields[i].column, orNone(oldFields[i].value), orNone(newFields[i].value)))
		}
	}
	return strings.Join(parts, ", ")
}

// describeChange returns what was added, changed or removed, in one line.
func describeChange(c control.RowChange, timeZone *time.Location) string {
	switch {
	case c.Before != nil && c.After != nil:
		return describeDifferences(*c.Before, *c.After, timeZone)
	case c.After != nil:
		return describeRow(*c.After, timeZone)
	case c.Before != nil:
		return "was " + describeRow(*c.Before, timeZone)
	}
	return ""
}

// changeTable returns a table with one line for each change.
func changeTable(changes []control.RowChange, timeZone *time.Location) string {
	var rows [][]string
	for _, c := range changes {
		rows = append(rows, []string{c.Kind, oneLine(c.Name), describeChange(c, timeZone)})
	}
	return table("CHANGE\tROW\tDETAILS", rows)
}

// countChanges returns the number of changes by kind, as in "1 added, 2 changed,
// 0 removed".
func countChanges(changes []control.RowChange) string {
	count := make(map[string]int)
	for _, c := range changes {
		count[c.Kind]++
	}
	return fmt.Sprintf("%d added, %d changed, %d removed", count[sheet.Added], count[sheet.Changed], count[sheet.Removed])
}

func formatImportance(i structs.Importance) string {
	switch i {
	case structs.ImportanceLow:
		return "low"
	case structs.ImportanceNormal:
		return "normal"
	case structs.ImportanceHigh:
		return "high"
	case structs.ImportanceUrgent:
		return "urgent"
	}
	return fmt.Sprintf("importance %d", int(i))
}

// formatThousandths formats v/1000 as a decimal number without trailing zeros.
func formatThousandths(v int64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%d.%03d", v/1000, v%1000), "0"), ".")
}

func formatMemory(mb int64) string {
	if mb < 1000 {
		return fmt.Sprintf("%d MB", mb)
	}
	return formatThousandths(mb) + " GB"
}

// formatDuration formats a duration as the sheet writes it, such as 2h30m.
func formatDuration(ms int64) string {
	text := (time.Duration(ms) * time.Millisecond).String()
	for _, zero := range []struct{ long, short string }{{"m0s", "m"}, {"h0m", "h"}} {
		if strings.HasSuffix(text, zero.long) {
			text = strings.TrimSuffix(text, zero.long) + zero.short
		}
	}
	return text
}

// formatDeadline formats a deadline with its UTC offset; a nil timeZone means
// UTC.
func formatDeadline(unixMS int64, timeZone *time.Location) string {
	if timeZone == nil {
		timeZone = time.UTC
	}
	return time.UnixMilli(unixMS).In(timeZone).Format("2006-01-02 15:04 -07:00")
}

func emptyIfZero(v int64, text string) string {
	if v == 0 {
		return ""
	}
	return text
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
