package sheet

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
	_ "time/tzdata" // Europe/Sofia on machines without a time zone database

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// sofia and lagos are the time zones of both deployments as fixed offsets, which
// need no time zone database.
var (
	sofia = time.FixedZone("EET", 2*60*60)
	lagos = time.FixedZone("WAT", 60*60)
)

func parseOK(t *testing.T, data string, zone *time.Location) []structs.SheetRow {
	t.Helper()
	rows, faults := Parse("sheet.csv", []byte(data), zone)
	for _, f := range faults {
		t.Error(f)
	}
	return rows
}

// TestExamples guards against documented examples that Parse no longer reads. They
// contain Cyrillic, decimal commas, CRLF, a byte order mark, line breaks in a field
// and blank lines.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		file  string
		zone  *time.Location
		count int
		want  structs.SheetRow
	}{
		{"obikolka.csv", sofia, 7, structs.SheetRow{
			Name: "сутрешен план", Kind: structs.KindBatch, Team: "маршрути", Importance: structs.ImportanceUrgent, Count: 8,
			Command:        "obikolka plan\n--zone smolyan\n--zone devin",
			Request:        structs.Resources{MilliCores: 4000, MemoryMB: 8000},
			DeadlineUnixMS: time.Date(2026, 12, 5, 2, 30, 0, 0, time.UTC).UnixMilli(), RunTimeMS: 45 * minuteMS,
		}},
		{"member-portal.csv", lagos, 6, structs.SheetRow{
			Name: "batch-quotes", Kind: structs.KindBatch, Team: "portal", Importance: structs.ImportanceNormal, Count: 20,
			Command:        `member-portal quotes --currency NGN --title "Cube parts, all sizes"`,
			Request:        structs.Resources{MilliCores: 1000, MemoryMB: 1500},
			DeadlineUnixMS: time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC).UnixMilli(), RunTimeMS: 20 * minuteMS,
		}},
	} {
		data, err := os.ReadFile("../../docs/examples/" + c.file)
		if err != nil {
			t.Fatal(err)
		}
		rows := parseOK(t, string(data), c.zone)
		if got, _ := Find(rows, c.want.Name); len(rows) != c.count || got != c.want {
			t.Errorf("%s: %d rows, got\n%+v, want\n%+v", c.file, len(rows), got, c.want)
		}
		if faults := Check(rows); faults != nil {
			t.Errorf("%s: parsed rows fail Check, as the entry host runs it: %v", c.file, faults)
		}
	}
}

const testHeader = "name;kind;command;count;cores;memory\n"

// TestFaults guards against faults that do not tell planners the line in the
// spreadsheet, the column, the reason and the accepted values, and against faults
// that are not all reported at once.
func TestFaults(t *testing.T) {
	const sizes = "; accepted: 512 MB, 1,5 GB, 2 TB; a number without unit is GB"
	for name, c := range map[string]struct{ sheet, want string }{
		"one row": {testHeader + "a;service;x;1;1;1", ""},
		"lines after line breaks and blank lines": {
			testHeader + "a;batch;\"x\ny\nz\";;1;1\n\n;;;;;\nb;batch;x;;1.5;1\n",
			`line 5 (line 7 of the file), column cores (E), row b: "1.5": decimals in this sheet are written with a comma, not a point; accepted: a number such as 2 or 1,5, over 0 and at most 1024 (a team's quota: 512000)`,
		},
		"separator line is no line of the spreadsheet": {
			"sep=;\r\n" + testHeader + "a;batch;x;;1;1 PB\r\n",
			`line 2 (line 3 of the file), column memory (F), row a: "1 PB": unknown unit PB` + sizes,
		},
		"every fault of a row": {
			testHeader + "a/b;job;x;0;0;0\n",
			`line 2, column kind (B), row a/b: "job": not a kind of row; accepted: service, batch, team
line 2, column name (A), row a/b: "a/b": the name contains '/'; accepted: letters, digits, spaces, and signs other than / \ ? # %
line 2, column cores (E), row a/b: "0": must not be zero; accepted: a number such as 2 or 1,5, over 0 and at most 1024 (a team's quota: 512000)
line 2, column memory (F), row a/b: "0": must not be zero` + sizes + "; at most 16 TB (a team's quota: 8000 TB)",
		},
		"service without count": {
			testHeader + "a;service;x;;1;1\nb;service;x;0;1;1",
			`line 2, column count (D), row a: a service needs a count of replicas; accepted: a whole number from 1 to 50000
line 3, column count (D), row b: "0": must not be zero; accepted: a whole number from 1 to 50000`,
		},
		"service that callers cannot name": {
			testHeader + "портал;service;x;1;1;1\nпортал 2;batch;x;1;1;1",
			`line 2, column name (A), row портал: "портал": callers name the service in a URL, where 'п' cannot stand; accepted: for a service, letters a to z and A to Z, digits, and - . _ ~`,
		},
		"duplicate": {
			testHeader + "a;batch;x;;1;1\na;batch;x;;1;1",
			`line 3, column name (A), row a: "a": the row on line 2 has this name; accepted: names that differ`,
		},
		"columns": {
			"name;kind;KIND;comand;cores;;\na;batch;;x;1;oops\n",
			`line 1, column KIND (C): the column is there twice, first as B; accepted: one column of each name
line 1, column comand (D): unknown column; accepted: name, kind, team, command, importance, count, cores, memory, accelerators, deadline, run time, latency target, idempotent
line 1, column command: the column is missing; accepted: one of the headers command, команда
line 1, column memory: the column is missing; accepted: one of the headers memory, памет
line 2, column F, row a: "oops": a value in a column without header; accepted: an empty cell, or a header for the column`,
		},
		"teams": {
			"name,kind,team,command,cores,memory\nred,team,,,10,10\na,batch,rde,x,1,1\nb,batch,,x,1,1\n",
			`line 3, column team (C), row a: "rde": the sheet lists teams, but not this one; accepted: the name of a row of kind team
line 4, column team (C), row b: the sheet lists teams, but this row names none; accepted: the name of a row of kind team`,
		},
		"no meaning for the kind": {
			"name,kind,command,cores,memory,latency target,idempotent\na,batch,x,1,1,1s,yes\nb,batch,x,1,1,,no\n",
			`line 2, column latency target (F), row a: "1s": has no meaning for a row of kind batch; accepted: an empty cell
line 2, column idempotent (G), row a: "yes": has no meaning for a row of kind batch; accepted: an empty cell`,
		},
		"quotes": {
			testHeader + "a;batch;x \"y\";;1;1\nb;batch;x;;1;x\n",
			`line 2: a quotation mark stands where none may be, or its partner is missing; accepted: fields in quotation marks, with "" for a quotation mark inside
line 3, column memory (F), row b: "x": unknown unit x` + sizes,
		},
		"not a header": {
			"a;service;x;1;1;1\n",
			`line 1: "a service x 1 1 1": the first line is not a header: it names no known column; accepted: a first line with the columns name, kind, team, command, importance, count, cores, memory, accelerators, deadline, run time, latency target, idempotent, separated by semicolons, tabs or commas`,
		},
		"Windows-1251": {
			"name;kind\n\xec\xeb\xff\xea\xee;service\n",
			`line 2 of the file: the file is not UTF-8 (byte 0xEC); it is probably Windows-1251 or Windows-1252; accepted: export again as "CSV UTF-8"`,
		},
		"UTF-16":    {"\xff\xfen\x00", `the file is UTF-16 text, not UTF-8; accepted: export again as "CSV UTF-8"`},
		"document":  {"PK\x03\x04", `the file is a spreadsheet document, not an exported sheet; accepted: export again as "CSV UTF-8"`},
		"empty":     {" \n", "the file is empty; accepted: a header and rows"},
		"too large": {strings.Repeat("x", MaxBytes+1), "the file is larger than 8 MiB"},
		"too many rows": {
			testHeader + strings.Repeat("\n", 5) + manyRows(MaxRows+1),
			"line 20007: the sheet has more than 20000 rows",
		},
	} {
		t.Run(name, func(t *testing.T) {
			rows, faults := Parse("", []byte(c.sheet), sofia)
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			if s := strings.Join(got, "\n"); s != c.want {
				t.Errorf("got\n%s\nwant\n%s", s, c.want)
			}
			if len(faults) > 0 && rows != nil {
				t.Error("rows of a faulty sheet were returned")
			}
		})
	}
}

func manyRows(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "r%d;batch;x;;1;1\n", i)
	}
	return b.String()
}

// TestValues guards against cells that are read as a wrong value, or accepted
// although their meaning is ambiguous.
func TestValues(t *testing.T) {
	zone, err := time.LoadLocation("Europe/Sofia")
	if err != nil {
		t.Fatal(err)
	}
	utc := func(s string) int64 {
		at, _ := time.Parse(time.RFC3339, s)
		return at.UnixMilli()
	}
	memory := func(r structs.SheetRow) int64 { return r.Request.MemoryMB }
	cores := func(r structs.SheetRow) int64 { return r.Request.MilliCores }
	runTime := func(r structs.SheetRow) int64 { return r.RunTimeMS }
	deadline := func(r structs.SheetRow) int64 { return r.DeadlineUnixMS }
	const refused = -1
	for _, c := range []struct {
		column columnID
		value  func(structs.SheetRow) int64
		text   string
		want   int64
	}{
		{colMemory, memory, "512 MB", 512}, {colMemory, memory, "1,5 GB", 1500}, {colMemory, memory, "1,5ГБ", 1500},
		{colMemory, memory, "2", 2000}, {colMemory, memory, "0,0001", 1}, {colMemory, memory, "1 GiB", 1074},
		{colMemory, memory, "1024 MiB", 1074}, {colMemory, memory, "1.5", refused}, {colMemory, memory, "-1", refused},
		{colMemory, memory, "1e3", refused}, {colMemory, memory, "999999999999 TB", 999_999_999_999e6},
		{colCores, cores, "1 200", 1_200_000}, {colCores, cores, "1\u00a0200,5", 1_200_500}, {colCores, cores, "12 00", refused},
		{colCores, cores, "0,25", 250}, {colCores, cores, ",5", refused}, {colCores, cores, "1,", refused},
		{colCores, cores, "9999999999999", refused}, {colCores, cores, "0,0000001", refused},
		{colRunTime, runTime, "2h30m", 150 * minuteMS}, {colRunTime, runTime, "2 ч 30 мин.", 150 * minuteMS},
		{colRunTime, runTime, "1,5h", 90 * minuteMS}, {colRunTime, runTime, "36d", 36 * dayMS}, {colRunTime, runTime, "45", refused},
		{colRunTime, runTime, "2:30", refused}, {colRunTime, runTime, "0m", refused}, {colRunTime, runTime, "999999999999d999999999999d", refused},
		{colDeadline, deadline, "2026-12-05 04:30", utc("2026-12-05T02:30:00Z")},
		{colDeadline, deadline, "5.12.2026 г. 4:30", utc("2026-12-05T02:30:00Z")}, {colDeadline, deadline, "5.12.2026 г. 04:30", utc("2026-12-05T02:30:00Z")},
		{colDeadline, deadline, "2026-07-05 04:30", utc("2026-07-05T01:30:00Z")},
		{colDeadline, deadline, "2026-12-05T04:30:00+01:00", utc("2026-12-05T03:30:00Z")},
		{colDeadline, deadline, "2026-03-29 03:30", refused},                     // skipped when clocks are set forward
		{colDeadline, deadline, "2026-10-25 03:30", utc("2026-10-25T00:30:00Z")}, // occurs twice
		{colDeadline, deadline, "05/12/2026 04:30", refused}, {colDeadline, deadline, "2026-12-05", refused},
	} {
		var row structs.SheetRow
		cf := columns[columnByHeader[string(c.column)]].read(c.text, format{decimalComma: true, zone: zone}, &row)
		if cf != nil {
			if c.want != refused {
				t.Errorf("%s %q: %s", c.column, c.text, cf.reason)
			}
			continue
		}
		if got := c.value(row); got != c.want {
			t.Errorf("%s %q: got %d, want %d", c.column, c.text, got, c.want)
		}
	}
	if cf := readDeadline("2026-12-05 04:30", format{}, &structs.SheetRow{}); cf == nil {
		t.Error("a deadline without offset was accepted without a time zone")
	}
}
