package sheet

import (
	"fmt"
	"sort"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Check returns all faults of rows that were not read by Parse, such as rows of a
// JSON request. Rows must be sorted by name, as SortedByName returns them, and have
// distinct names; otherwise that is a fault as well. A fault gives the name of
// its row, or the row's position from 1 if it has no name.
func Check(rows []structs.SheetRow) []Fault {
	if len(rows) > MaxRows {
		return []Fault{{Reason: fmt.Sprintf("%d rows; at most %d are accepted", len(rows), MaxRows)}}
	}
	var faults []Fault
	for i, r := range rows {
		for _, cf := range checkRow(r) {
			faults = append(faults, rowFault(rows, i, cf))
		}
		if i > 0 && rows[i-1].Name == r.Name && r.Name != "" {
			faults = append(faults, rowFault(rows, i, columnFault{colName, "the name occurs twice", "names that differ"}))
		}
		if i > 0 && rows[i-1].Name > r.Name {
			faults = append(faults, rowFault(rows, i, columnFault{colName, "the rows are not sorted by name", "rows sorted by the bytes of their names"}))
		}
	}
	for _, i := range unlistedTeams(rows) {
		faults = append(faults, rowFault(rows, i, columnFault{colTeam, unlistedTeam, "the name of a team row"}))
	}
	return faults
}

// rowFault returns a fault of the row at index i.
func rowFault(rows []structs.SheetRow, i int, cf columnFault) Fault {
	name := rows[i].Name
	if name == "" {
		name = fmt.Sprintf("#%d", i+1)
	}
	f := Fault{Row: shorten(name), Column: string(cf.column), Reason: cf.reason, Accepted: cf.accepted}
	switch cf.column {
	case colTeam:
		f.Value = shorten(rows[i].Team)
	case colKind:
		f.Value = shorten(string(rows[i].Kind))
	}
	return f
}

// SortedByName returns a copy of rows sorted by name.
func SortedByName(rows []structs.SheetRow) []structs.SheetRow {
	sorted := append([]structs.SheetRow{}, rows...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}
