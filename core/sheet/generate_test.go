package sheet

import (
	"encoding/csv"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

var (
	nameGen = rapid.StringMatching(`[a-zа-я0-9ẹ][a-zа-я0-9 ."';,&=-]{0,12}[a-zа-я0-9]`)
	textGen = rapid.StringMatching(`[a-zA-Zа-я"'][a-zа-я";,\t\n =./#-]{0,20}[a-z"]`)
	sizeGen = rapid.Custom(func(t *rapid.T) structs.Resources {
		return structs.Resources{
			MilliCores: rapid.Int64Range(1, maxMilliCores).Draw(t, "cores"), MemoryMB: rapid.Int64Range(1, maxMemoryMB).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, maxAccelerators).Draw(t, "accelerators"),
		}
	})
	teamNames = []string{"плащания", "portal", "team 3"}
)

// TestMain sets a fixed seed, so that each run has the same result. A longer run
// passes -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// rowGen generates valid service and batch rows with a name and one of the teams.
func rowGen(name string, team []string) *rapid.Generator[structs.SheetRow] {
	return rapid.Custom(func(t *rapid.T) structs.SheetRow {
		r := structs.SheetRow{
			Name: name, Kind: rapid.SampledFrom([]structs.RowKind{structs.KindBatch, structs.KindService}).Draw(t, "kind"),
			Team: rapid.SampledFrom(team).Draw(t, "team"), Command: textGen.Draw(t, "command"),
			Importance: structs.Importance(rapid.IntRange(0, 3).Draw(t, "importance")),
			Count:      rapid.IntRange(1, maxCount).Draw(t, "count"), Request: sizeGen.Draw(t, "request"),
		}
		if r.Kind == structs.KindService {
			r.LatencyTargetMS = rapid.Int64Range(0, maxLatencyTargetMS).Draw(t, "latency")
			r.Idempotent = rapid.Bool().Draw(t, "idempotent")
			r.Name = serviceName(name)
			return r
		}
		r.RunTimeMS = rapid.Int64Range(0, maxRunTimeMS).Draw(t, "run time")
		if rapid.Bool().Draw(t, "has deadline") {
			r.DeadlineUnixMS = rapid.Int64Range(minDeadlineUnixMS/secondMS, maxDeadlineUnixMS/secondMS).Draw(t, "deadline") * secondMS
		}
		return r
	})
}

// serviceName returns the name itself if a service may have it, and otherwise a
// valid one. Distinct names stay distinct.
func serviceName(name string) string {
	if checkServiceName(name) == "" {
		return name
	}
	return fmt.Sprintf("s-%x", name)
}

// sheetGen generates valid sheets, with or without teams, sorted by name.
func sheetGen(maxRows int) *rapid.Generator[[]structs.SheetRow] {
	return rapid.Custom(func(t *rapid.T) []structs.SheetRow {
		var rows []structs.SheetRow
		teams := []string{"", "free text"}
		if rapid.Bool().Draw(t, "teams") {
			teams = teamNames
			for _, name := range teams {
				rows = append(rows, structs.SheetRow{Name: name, Kind: structs.KindTeam, Importance: structs.ImportanceNormal, Request: sizeGen.Draw(t, "quota")})
			}
		}
		for _, name := range rapid.SliceOfNDistinct(nameGen, 0, maxRows, rapid.ID[string]).Draw(t, "names") {
			if row := rowGen(name, teams).Draw(t, "row"); !slices.ContainsFunc(rows, func(r structs.SheetRow) bool { return r.Name == row.Name }) {
				rows = append(rows, row)
			}
		}
		return SortedByName(rows)
	})
}

// dialect is one of the ways in which spreadsheets export a sheet.
type dialect struct {
	delimiter rune
	crlf      bool
	prefix    string // byte order mark and separator line
	bulgarian bool   // headers and words are Bulgarian
	trailing  int    // empty columns at the end
	seed      uint64 // for the order of the columns and the blank lines
}

var dialectGen = rapid.Custom(func(t *rapid.T) dialect {
	d := dialect{
		delimiter: rapid.SampledFrom(delimiters).Draw(t, "delimiter"), crlf: rapid.Bool().Draw(t, "crlf"),
		bulgarian: rapid.Bool().Draw(t, "bulgarian"), trailing: rapid.IntRange(0, 3).Draw(t, "trailing"), seed: rapid.Uint64().Draw(t, "seed"),
	}
	if rapid.Bool().Draw(t, "byte order mark") {
		d.prefix = byteOrderMark
	}
	if rapid.Bool().Draw(t, "separator line") {
		d.prefix += "sep=" + string(d.delimiter) + "\n"
	}
	return d
})

// write returns a sheet as a file in the dialect, which Parse reads back.
func (d dialect) write(rows []structs.SheetRow) string {
	var b strings.Builder
	b.WriteString(d.prefix)
	rng := rand.New(rand.NewPCG(d.seed, 0))
	order := rng.Perm(len(columns))
	w := csv.NewWriter(&b)
	w.Comma, w.UseCRLF = d.delimiter, d.crlf
	record := func(cell func(column) string) {
		fields := make([]string, len(columns)+d.trailing)
		for to, from := range order {
			fields[to] = cell(columns[from])
		}
		w.Write(fields)
	}
	record(func(c column) string {
		h := c.headers[0]
		if d.bulgarian {
			h = c.headers[len(c.headers)-1]
		}
		return " " + strings.ToUpper(h) + " "
	})
	for _, r := range rows {
		if rng.IntN(4) == 0 {
			record(func(column) string { return "" })
		}
		record(func(c column) string { return d.cell(c.id, r) })
	}
	w.Flush()
	return b.String()
}

// cell returns the text of one cell of a row.
func (d dialect) cell(c columnID, r structs.SheetRow) string {
	thousandths := func(v int64) string {
		s := fmt.Sprintf("%d.%03d", v/1000, v%1000)
		if d.delimiter != ',' {
			s = strings.Replace(s, ".", ",", 1)
		}
		return s
	}
	optional := func(v int64, s string) string {
		if v == 0 {
			return ""
		}
		return s
	}
	team := r.Kind == structs.KindTeam
	switch c {
	case colName:
		return r.Name
	case colKind:
		return d.word(string(r.Kind), map[string]string{"service": "Услуга", "batch": "пакетна", "team": "екип"})
	case colTeam:
		return r.Team
	case colCommand:
		return r.Command
	case colImportance:
		return strings.Split(acceptedImportance, ", ")[r.Importance]
	case colCount:
		return optional(int64(r.Count), fmt.Sprint(r.Count))
	case colCores:
		return thousandths(r.Request.MilliCores)
	case colMemory:
		return thousandths(r.Request.MemoryMB) + d.word(" GB", map[string]string{" GB": " ГБ"})
	case colAccelerators:
		return fmt.Sprint(r.Request.Accelerators)
	case colDeadline:
		return optional(r.DeadlineUnixMS, time.UnixMilli(r.DeadlineUnixMS).In(sofia).Format("2006-01-02 15:04:05"))
	case colRunTime:
		return optional(r.RunTimeMS, fmt.Sprintf("%dh%dms", r.RunTimeMS/hourMS, r.RunTimeMS%hourMS))
	case colLatencyTarget:
		return optional(r.LatencyTargetMS, thousandths(r.LatencyTargetMS)+"s")
	}
	if team || r.Kind == structs.KindBatch {
		return ""
	}
	return d.word(map[bool]string{true: "yes", false: "no"}[r.Idempotent], map[string]string{"yes": "ДА", "no": "не"})
}

func (d dialect) word(english string, bulgarian map[string]string) string {
	if d.bulgarian {
		return bulgarian[english]
	}
	return english
}
