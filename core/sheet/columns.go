package sheet

import (
	"strings"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// columnID identifies a column by its English header.
type columnID string

// The columns of a sheet.
const (
	colName          columnID = "name"
	colKind          columnID = "kind"
	colTeam          columnID = "team"
	colCommand       columnID = "command"
	colImportance    columnID = "importance"
	colCount         columnID = "count"
	colCores         columnID = "cores"
	colMemory        columnID = "memory"
	colAccelerators  columnID = "accelerators"
	colDeadline      columnID = "deadline"
	colRunTime       columnID = "run time"
	colLatencyTarget columnID = "latency target"
	colIdempotent    columnID = "idempotent"
)

// Accepted values, as shown in faults. "1.5" is shown with the decimal separator
// of the file.
const (
	acceptedKinds       = "service, batch, team"
	acceptedImportance  = "low, normal, high, urgent"
	acceptedMemory      = "512 MB, 1.5 GB, 2 TB; a number without unit is GB"
	acceptedDuration    = "45m, 2h30m, 250ms (units d, h, m, s, ms)"
	acceptedDeadline    = "2026-12-05 04:30 or 2026-12-05T04:30:00+02:00"
	acceptedYesNo       = "yes, no"
	acceptedName        = "letters, digits, spaces, and signs other than / \\ ? # %"
	acceptedService     = "for a service, letters a to z and A to Z, digits, and - . _ ~"
	acceptedCount       = "a whole number from 1 to 50000"
	acceptedCores       = "a number such as 2 or 1.5, over 0 and at most 1024 (a team's quota: 512000)"
	acceptedAccelerator = "a whole number from 0 to 64 (a team's quota: 32000)"
)

// column describes one column of the sheet.
type column struct {
	id       columnID
	headers  []string // accepted headers, as headerKey returns them
	required bool     // whether the file must have the column
	kinds    string   // first letters of the kinds of row that may have a value: s, b, t
	// read parses a cell that is not empty and stores its value in the row.
	read func(text string, f format, row *structs.SheetRow) *columnFault
}

// columns lists the columns in the order in which the documentation shows them.
var columns = []column{
	{colName, []string{"name", "име", "наименование"}, true, "sbt", readName},
	{colKind, []string{"kind", "вид", "тип"}, true, "sbt", readKind},
	{colTeam, []string{"team", "екип"}, false, "sb", readTeam},
	{colCommand, []string{"command", "команда"}, true, "sb", readCommand},
	{colImportance, []string{"importance", "важност", "приоритет"}, false, "sbt", readImportance},
	{colCount, []string{"count", "брой"}, false, "sb", readCount},
	{colCores, []string{"cores", "ядра", "процесори"}, true, "sbt", readCores},
	{colMemory, []string{"memory", "памет"}, true, "sbt", readMemory},
	{colAccelerators, []string{"accelerators", "ускорители"}, false, "sbt", readAccelerators},
	{colDeadline, []string{"deadline", "краен срок", "срок"}, false, "b", readDeadline},
	{colRunTime, []string{"run time", "runtime", "време за изпълнение", "продължителност"}, false, "b", readRunTime},
	{colLatencyTarget, []string{"latency target", "целево закъснение", "време за отговор"}, false, "s", readLatencyTarget},
	{colIdempotent, []string{"idempotent", "идемпотентна", "повторяема"}, false, "s", readIdempotent},
}

// columnByHeader maps accepted headers to indexes into columns.
var columnByHeader = func() map[string]int {
	m := make(map[string]int)
	for i, c := range columns {
		for _, h := range c.headers {
			m[h] = i
		}
	}
	return m
}()

// The accepted words of columns with a fixed set of values, as wordKey returns
// them.
var (
	kindWords = map[string]structs.RowKind{
		"service": structs.KindService, "услуга": structs.KindService,
		"batch": structs.KindBatch, "пакетна": structs.KindBatch, "пакет": structs.KindBatch,
		"team": structs.KindTeam, "екип": structs.KindTeam,
	}
	importanceWords = map[string]structs.Importance{
		"low": structs.ImportanceLow, "ниска": structs.ImportanceLow, "нисък": structs.ImportanceLow,
		"normal": structs.ImportanceNormal, "нормална": structs.ImportanceNormal, "нормален": structs.ImportanceNormal,
		"high": structs.ImportanceHigh, "висока": structs.ImportanceHigh, "висок": structs.ImportanceHigh,
		"urgent": structs.ImportanceUrgent, "спешна": structs.ImportanceUrgent, "спешен": structs.ImportanceUrgent,
	}
	yesNoWords = map[string]bool{
		"yes": true, "y": true, "true": true, "да": true,
		"no": false, "n": false, "false": false, "не": false,
	}
)

// headerKey normalizes a header for comparison: lower case, words separated by
// single spaces. Spreadsheets may also separate the words of a header with
// underscores, hyphens or line breaks.
func headerKey(text string) string {
	text = strings.NewReplacer("_", " ", "-", " ").Replace(strings.ToLower(text))
	return strings.Join(strings.Fields(text), " ")
}

// wordKey normalizes a word for comparison with the accepted words.
func wordKey(text string) string { return strings.ToLower(strings.TrimSpace(text)) }

// headerNames returns the English headers, separated by commas, for messages.
func headerNames() string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = string(c.id)
	}
	return strings.Join(names, ", ")
}

// allowed reports whether rows of the kind may have a value in the column.
func (c column) allowed(kind structs.RowKind) bool {
	return kind != "" && strings.Contains(c.kinds, string(kind[:1]))
}
