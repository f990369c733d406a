package sheet

import (
	"fmt"
	"sort"
	"testing"

	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// TestPatch guards against configuration deltas between entry hosts that give a
// different sheet: Patch applied to a sheet with its Diff to another sheet must
// give the other sheet.
func TestPatch(t *testing.T) {
	sheets := rapid.Custom(func(t *rapid.T) []structs.SheetRow {
		counts := rapid.MapOf(rapid.IntRange(0, 20), rapid.IntRange(1, 3)).Draw(t, "rows")
		rows := []structs.SheetRow{}
		for n, count := range counts {
			rows = append(rows, structs.SheetRow{Name: fmt.Sprintf("row-%02d", n), Count: count})
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
		return rows
	})
	rapid.Check(t, func(t *rapid.T) {
		before, after := sheets.Draw(t, "before"), sheets.Draw(t, "after")
		var set []structs.SheetRow
		var removed []string
		for _, c := range Diff(before, after) {
			if c.After == nil {
				removed = append(removed, c.Name)
			} else {
				set = append(set, *c.After)
			}
		}
		if got := Patch(before, set, removed); fmt.Sprint(got) != fmt.Sprint(after) {
			t.Fatalf("patched %v, want %v", got, after)
		}
	})
}
