package sheet

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// TestDialectsParseBack guards against values that change when a dialect is
// parsed, and against valid rows that Parse or Check reject.
func TestDialectsParseBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows, d := sheetGen(6).Draw(t, "rows"), dialectGen.Draw(t, "dialect")
		file := d.write(rows)
		got, faults := Parse("sheet.csv", []byte(file), sofia)
		if len(faults) > 0 {
			t.Fatalf("%v in\n%s", faults, file)
		}
		if len(rows) != len(got) || len(rows) > 0 && !reflect.DeepEqual(rows, got) {
			t.Fatalf("wrote %+v\nread %+v\nfrom\n%s", rows, got, file)
		}
		if faults := Check(got); faults != nil {
			t.Fatal(faults)
		}
	})
}

// FuzzParse guards against input that makes Parse crash or hang, accept rows that
// Check rejects, reject a sheet without a reason, or return different rows for the
// same bytes.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"obikolka.csv", "member-portal.csv"} {
		data, err := os.ReadFile("../../docs/examples/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, seed := range []string{
		"", "sep=;\n", "\xef\xbb\xbfsep=,\r\nname,kind\r\n", testHeader, testHeader + "a;batch;\"x\n\ny\";;1;1", testHeader + "\"a\"b;batch;x;1;1;1",
		"name\tkind\tcommand\tcount\tcores\tmemory\na\tservice\tx\t2\t1,5\t1 GiB\n", "име;вид;команда;ядра;памет\nа;пакетна;x;1;1",
		"name,kind,команда,cores,memory,run time,deadline\na,batch,x,1,1,2h30m,2026-12-05 04:30\n", "\xec\xeb\xff;\n", "name;name;;x\n;;;y",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, faults := Parse("sheet.csv", data, sofia)
		if len(faults) > 0 && rows != nil {
			t.Fatal("rows with faults")
		}
		for _, fault := range faults {
			if fault.Reason == "" || fault.File == "" || len(fault.Value) > 4*maxValueRunes {
				t.Fatalf("%+v", fault)
			}
		}
		if faults := Check(rows); faults != nil {
			t.Fatalf("accepted rows fail the check: %v", faults)
		}
		again, _ := Parse("sheet.csv", data, sofia)
		if !reflect.DeepEqual(rows, again) {
			t.Fatal("the same bytes gave different rows")
		}
	})
}

// editGen generates edited copies of base: rows whose index satisfies editable are
// changed or removed, and rows whose names begin with prefix are added.
func editGen(base []structs.SheetRow, prefix string, editable func(i int) bool) *rapid.Generator[[]structs.SheetRow] {
	return rapid.Custom(func(t *rapid.T) []structs.SheetRow {
		var rows []structs.SheetRow
		for i, r := range base {
			action := rapid.IntRange(0, 3).Draw(t, "action")
			switch {
			case !editable(i) || action < 2 || r.Kind == structs.KindTeam:
				rows = append(rows, r)
			case action == 2:
				rows = append(rows, rowGen(r.Name, []string{r.Team}).Draw(t, "changed"))
			}
		}
		for _, suffix := range rapid.SliceOfNDistinct(nameGen, 0, 2, rapid.ID[string]).Draw(t, "added") {
			team := ""
			if len(base) > 0 {
				team = base[0].Team
			}
			for _, r := range base {
				if r.Kind == structs.KindTeam {
					team = r.Name
				}
			}
			rows = append(rows, rowGen(prefix+suffix, []string{team}).Draw(t, "new"))
		}
		return SortedByName(rows)
	})
}

// TestMerge guards against a three-way merge that loses a change. Disjoint changes
// must commute, and a sheet based on the current one must be taken unchanged.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := sheetGen(6).Draw(t, "base")
		a := editGen(base, "+a ", func(i int) bool { return i%2 == 0 }).Draw(t, "a")
		b := editGen(base, "+b ", func(i int) bool { return i%2 == 1 }).Draw(t, "b")
		ab, ba := Merge(base, a, b), Merge(base, b, a)
		if len(ab.Conflicts)+len(ba.Conflicts) > 0 {
			t.Fatalf("disjoint changes conflict: %v %v", ab.Conflicts, ba.Conflicts)
		}
		if !reflect.DeepEqual(ab.Rows, ba.Rows) {
			t.Fatalf("merge does not commute:\n%v\n%v", ab.Rows, ba.Rows)
		}
		for _, c := range append(Diff(base, a), Diff(base, b)...) {
			if r, ok := Find(ab.Rows, c.Name); ok != (c.After != nil) || ok && r != *c.After {
				t.Fatalf("the change of %s is lost", c.Name)
			}
		}
		if n := len(Diff(base, a)) + len(Diff(base, b)); n != len(Diff(base, ab.Rows)) {
			t.Fatalf("the merge has %d changes, want %d", len(Diff(base, ab.Rows)), n)
		}
		if m := Merge(a, a, b); len(m.Conflicts) > 0 || !reflect.DeepEqual(m.Rows, b) {
			t.Fatalf("a merge with base equal to current does not give wanted: %+v", m)
		}
		if m := Merge(base, a, a); len(m.Conflicts)+len(m.Changes) > 0 {
			t.Fatalf("a merge of two equal sheets has conflicts or changes: %+v", m)
		}
		if faults := Check(ab.Rows); faults != nil {
			t.Fatalf("valid sheets merge to an invalid one: %v", faults)
		}
		all := func(int) bool { return true }
		checkOverlap(t, base, editGen(base, "+", all).Draw(t, "current"), editGen(base, "+", all).Draw(t, "wanted"))
	})
}

// checkOverlap merges changes that may concern the same rows. Each change must be
// in the result, or its row must be reported as a conflict with the change of the
// current sheet.
func checkOverlap(t *rapid.T, base, current, wanted []structs.SheetRow) {
	m := Merge(base, current, wanted)
	conflicts := make(map[string]Change)
	for _, c := range m.Conflicts {
		conflicts[c.Name] = c
	}
	wantedChanges := make(map[string]Change)
	for _, c := range Diff(base, wanted) {
		wantedChanges[c.Name] = c
		if _, ok := conflicts[c.Name]; ok {
			continue
		}
		if r, ok := Find(m.Rows, c.Name); ok != (c.After != nil) || ok && r != *c.After {
			t.Fatalf("the wanted change of %s is lost", c.Name)
		}
	}
	for _, c := range Diff(base, current) {
		conflict, named := conflicts[c.Name]
		if own, both := wantedChanges[c.Name]; named != (both && !sameAfter(own, c)) || named && !reflect.DeepEqual(conflict, c) {
			t.Fatalf("conflict on %s: reported %v, %+v", c.Name, named, conflict)
		}
		if r, ok := Find(m.Rows, c.Name); ok != (c.After != nil) || ok && r != *c.After {
			t.Fatalf("the current change of %s is lost", c.Name)
		}
	}
}

// TestMergeConflicts guards against a change that silently overwrites another, and
// against a merged row whose team is not listed.
func TestMergeConflicts(t *testing.T) {
	row := func(name, team string, count int) structs.SheetRow {
		return structs.SheetRow{Name: name, Kind: structs.KindBatch, Team: team, Count: count}
	}
	team := func(name string) structs.SheetRow { return structs.SheetRow{Name: name, Kind: structs.KindTeam} }
	sheet := func(rows ...structs.SheetRow) []structs.SheetRow { return SortedByName(rows) }
	for name, c := range map[string]struct {
		base, current, wanted []structs.SheetRow
		conflicts             string
	}{
		"both changed":              {sheet(row("a", "", 1)), sheet(row("a", "", 2)), sheet(row("a", "", 3)), "changed a"},
		"both changed alike":        {sheet(row("a", "", 1)), sheet(row("a", "", 2)), sheet(row("a", "", 2)), ""},
		"removed and changed":       {sheet(row("a", "", 1)), sheet(), sheet(row("a", "", 3)), "removed a"},
		"changed and removed":       {sheet(row("a", "", 1)), sheet(row("a", "", 2)), sheet(), "changed a"},
		"both removed":              {sheet(row("a", "", 1)), sheet(), sheet(), ""},
		"both added":                {sheet(), sheet(row("a", "", 1)), sheet(row("a", "", 2)), "added a"},
		"two of three":              {sheet(row("a", "", 1), row("b", "", 1)), sheet(row("a", "", 2), row("b", "", 2)), sheet(row("a", "", 3), row("b", "", 3)), "changed a, changed b"},
		"team removed, row added":   {sheet(team("t"), team("u")), sheet(team("u")), sheet(row("a", "t", 1), team("t"), team("u")), "removed t"},
		"row added, team removed":   {sheet(team("t"), team("u")), sheet(row("a", "t", 1), team("t"), team("u")), sheet(team("u")), "added a"},
		"first team, row added":     {sheet(), sheet(team("t")), sheet(row("a", "x", 1)), "added t"},
		"row added, first team":     {sheet(), sheet(row("a", "x", 1)), sheet(team("t")), "added a"},
		"team and row in agreement": {sheet(), sheet(team("t")), sheet(row("a", "t", 1), team("t")), ""},
	} {
		var got []string
		for _, conflict := range Merge(c.base, c.current, c.wanted).Conflicts {
			got = append(got, conflict.Kind+" "+conflict.Name)
		}
		if s := strings.Join(got, ", "); s != c.conflicts {
			t.Errorf("%s: conflicts %q, want %q", name, s, c.conflicts)
		}
	}
}

// TestStops guards against a wrong count of removed rows for the operator to
// confirm, and against stopped rows that a new export with another deadline
// resumes.
func TestStops(t *testing.T) {
	c := structs.Configuration{Stopped: []string{"b", "d"}}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.Rows = append(c.Rows, structs.SheetRow{Name: name, Kind: structs.KindBatch, Count: 1})
	}
	c.Rows = append(c.Rows, structs.SheetRow{Name: "t", Kind: structs.KindTeam})
	rows := []structs.SheetRow{{Name: "a", Kind: structs.KindTeam}, {Name: "b", Kind: structs.KindBatch, Count: 1}, {Name: "d", Kind: structs.KindBatch, Count: 2}}
	if removed, running := CountRemovals(c, rows); removed != 2 || running != 2 {
		t.Errorf("removed %d of %d, want 2 of 2: one was removed, one became a team", removed, running)
	}
	if kept := KeepStopped(c, rows); !reflect.DeepEqual(kept, []string{"b", "d"}) {
		t.Errorf("kept %v, want b and d: a changed row must remain stopped", kept)
	}
	for _, s := range []struct {
		names   []string
		resume  bool
		stopped []string
		unknown string
	}{
		{[]string{"a"}, false, []string{"a", "b", "d"}, ""},
		{[]string{"b", "b"}, true, []string{"d"}, ""},
		{[]string{"a", "x"}, false, nil, "x"},
		{[]string{"t"}, false, nil, "t"},
	} {
		if stopped, unknown := SetStopped(c, s.names, s.resume); !reflect.DeepEqual(stopped, s.stopped) || unknown != s.unknown {
			t.Errorf("%v: %v, unknown %q", s.names, stopped, unknown)
		}
	}
}

// TestCheck guards against invalid rows from a JSON request that Check accepts or
// reports with a wrong fault.
func TestCheck(t *testing.T) {
	ok := structs.SheetRow{Name: "a", Kind: structs.KindService, Count: 1, Request: structs.Resources{MilliCores: 1, MemoryMB: 1}}
	with := func(edit func(*structs.SheetRow)) []structs.SheetRow {
		r := ok
		edit(&r)
		return []structs.SheetRow{r}
	}
	second := ok
	second.Name = "b"
	for want, rows := range map[string][]structs.SheetRow{
		"": {ok, second},
		"column name, row a: the name occurs twice; accepted: names that differ":                                  {ok, ok},
		"column name, row a: the rows are not sorted by name; accepted: rows sorted by the bytes of their names":  {second, ok},
		"column name, row #1: the name is missing; accepted: " + acceptedName:                                     with(func(r *structs.SheetRow) { r.Name = "" }),
		"column name, row a\u200b: the name contains the invisible character U+200B; accepted: " + acceptedName:   with(func(r *structs.SheetRow) { r.Name = "a\u200b" }),
		"column name, row ..: the name cannot be part of a URL path; accepted: " + acceptedName:                   with(func(r *structs.SheetRow) { r.Name = ".." }),
		"column kind, row a: \"job\": not a kind of row; accepted: service, batch, team":                          with(func(r *structs.SheetRow) { r.Kind = "job" }),
		"column count, row a: must not be zero; accepted: " + acceptedCount:                                       with(func(r *structs.SheetRow) { r.Count = 0 }),
		"column cores, row a: too small; accepted: " + acceptedCores:                                              with(func(r *structs.SheetRow) { r.Request.MilliCores = -1 }),
		"column importance, row a: not a level of importance; accepted: low, normal, high, urgent":                with(func(r *structs.SheetRow) { r.Importance = 9 }),
		"column command, row a: contains the control character U+0000; accepted: text of at most 4096 bytes":      with(func(r *structs.SheetRow) { r.Command = "x\x00" }),
		"column run time, row a: too large; accepted: 45m, 2h30m, 250ms (units d, h, m, s, ms), at most 400 days": with(func(r *structs.SheetRow) { r.RunTimeMS = 1 << 60 }),
		"column deadline, row a: the year is out of range; accepted: " + acceptedDeadline:                         with(func(r *structs.SheetRow) { r.DeadlineUnixMS = 5 }),
		`column team, row a: "x": the sheet lists teams, but not this one; accepted: the name of a team row`: append(
			with(func(r *structs.SheetRow) { r.Team = "x" }), structs.SheetRow{Name: "t", Kind: structs.KindTeam, Request: ok.Request}),
	} {
		var got []string
		for _, f := range Check(rows) {
			got = append(got, f.String())
		}
		if s := strings.Join(got, "\n"); s != want {
			t.Errorf("got %q, want %q", s, want)
		}
	}
}

// BenchmarkMerge measures the time that the control loop spends on one change of a
// sheet of 11,000 rows.
func BenchmarkMerge(b *testing.B) {
	rows := make([]structs.SheetRow, 11_000)
	for i := range rows {
		rows[i] = structs.SheetRow{Name: fmt.Sprintf("row-%05d", i), Kind: structs.KindBatch, Count: 1}
	}
	wanted := slices.Clone(rows)
	wanted[5000].Count = 2
	for b.Loop() {
		Merge(rows, rows, wanted)
	}
}
