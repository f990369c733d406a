package sheet

import (
	"sort"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// The kinds of a Change.
const (
	Added   = "added"
	Changed = "changed"
	Removed = "removed"
)

// Change is the difference of one row between two sheets.
type Change struct {
	Name   string
	Kind   string            // Added, Changed or Removed
	Before *structs.SheetRow // nil if added
	After  *structs.SheetRow // nil if removed
}

// Find returns the row with the name. Rows must be sorted by name.
func Find(rows []structs.SheetRow, name string) (structs.SheetRow, bool) {
	i := sort.Search(len(rows), func(i int) bool { return rows[i].Name >= name })
	if i < len(rows) && rows[i].Name == name {
		return rows[i], true
	}
	return structs.SheetRow{}, false
}

// Diff returns the changes from before to after, sorted by name. Both sheets must
// be sorted by name.
func Diff(before, after []structs.SheetRow) []Change {
	var changes []Change
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case j == len(after) || i < len(before) && before[i].Name < after[j].Name:
			changes = append(changes, Change{Name: before[i].Name, Kind: Removed, Before: &before[i]})
			i++
		case i == len(before) || after[j].Name < before[i].Name:
			changes = append(changes, Change{Name: after[j].Name, Kind: Added, After: &after[j]})
			j++
		default:
			if before[i] != after[j] {
				changes = append(changes, Change{Name: after[j].Name, Kind: Changed, Before: &before[i], After: &after[j]})
			}
			i++
			j++
		}
	}
	return changes
}

// Merged is the result of a three-way merge.
type Merged struct {
	Rows      []structs.SheetRow // sorted by name; valid when there are no conflicts
	Changes   []Change           // from current to Rows
	Conflicts []Change           // the changes from base to current that conflict with wanted, sorted by name
}

// Merge applies the changes from base to wanted to current. A row that both sides
// changed is a conflict unless both changed it to the same content. Changes of
// different rows conflict if the merged sheet has a row whose team it does not
// list, which neither side causes alone. All sheets must be sorted by name.
func Merge(base, current, wanted []structs.SheetRow) Merged {
	currentChanges, wantedChanges := Diff(base, current), Diff(base, wanted)
	m := Merged{Rows: make([]structs.SheetRow, 0, len(current)+len(wantedChanges))}
	rows := current // rows that are not copied yet
	for _, c := range wantedChanges {
		before := sort.Search(len(rows), func(i int) bool { return rows[i].Name >= c.Name })
		m.Rows = append(m.Rows, rows[:before]...)
		rows = rows[before:]
		if other, ok := findChange(currentChanges, c.Name); ok && !sameAfter(other, c) {
			m.Conflicts = append(m.Conflicts, other)
			continue
		}
		if len(rows) > 0 && rows[0].Name == c.Name {
			rows = rows[1:]
		}
		if c.After != nil {
			m.Rows = append(m.Rows, *c.After)
		}
	}
	m.Rows = append(m.Rows, rows...)
	if len(m.Conflicts) == 0 {
		m.Conflicts = teamConflicts(m.Rows, currentChanges)
	}
	m.Changes = Diff(current, m.Rows)
	return m
}

// teamConflicts returns the changes of the current sheet because of which merged
// rows name a team that is not listed: the removal of the team, the change of the
// row itself, or else the addition of rows of kind team, since only a sheet with
// such rows requires teams to be listed.
func teamConflicts(rows []structs.SheetRow, currentChanges []Change) []Change {
	conflicting := make(map[string]bool)
	for _, i := range unlistedTeams(rows) {
		if c, ok := findChange(currentChanges, rows[i].Team); ok {
			conflicting[c.Name] = true
		} else if c, ok := findChange(currentChanges, rows[i].Name); ok {
			conflicting[c.Name] = true
		} else {
			for _, c := range currentChanges {
				conflicting[c.Name] = conflicting[c.Name] || c.After != nil && c.After.Kind == structs.KindTeam
			}
		}
	}
	var conflicts []Change
	for _, c := range currentChanges {
		if conflicting[c.Name] {
			conflicts = append(conflicts, c)
		}
	}
	return conflicts
}

// findChange returns the change of a row. Changes must be sorted by name.
func findChange(changes []Change, name string) (Change, bool) {
	i := sort.Search(len(changes), func(i int) bool { return changes[i].Name >= name })
	if i < len(changes) && changes[i].Name == name {
		return changes[i], true
	}
	return Change{}, false
}

// sameAfter reports whether both changes leave the row with the same content.
func sameAfter(a, b Change) bool {
	if a.After == nil || b.After == nil {
		return a.After == b.After
	}
	return *a.After == *b.After
}

// CountRemovals returns how many running rows of the configuration are missing
// from rows or became teams there, and how many running rows it has. Teams and
// stopped rows do not run. rows must be sorted by name.
func CountRemovals(c structs.Configuration, rows []structs.SheetRow) (removed, running int) {
	for _, r := range c.Rows {
		if r.Kind == structs.KindTeam || IsStopped(c, r.Name) {
			continue
		}
		running++
		if after, ok := Find(rows, r.Name); !ok || after.Kind == structs.KindTeam {
			removed++
		}
	}
	return removed, running
}

// IsStopped reports whether an operator stopped the row.
func IsStopped(c structs.Configuration, name string) bool {
	i := sort.SearchStrings(c.Stopped, name)
	return i < len(c.Stopped) && c.Stopped[i] == name
}

// SetStopped returns the names of the stopped rows after the named ones are
// stopped or resumed. unknown is the first name that is not a service or batch row
// of the configuration; a team cannot be stopped, because it does not run.
func SetStopped(c structs.Configuration, names []string, resume bool) (stopped []string, unknown string) {
	set := make(map[string]bool)
	for _, n := range c.Stopped {
		set[n] = true
	}
	for _, n := range names {
		if r, ok := Find(c.Rows, n); !ok || r.Kind == structs.KindTeam {
			return nil, n
		}
		set[n] = !resume
	}
	return sortedNames(set), ""
}

// KeepStopped returns the names of the rows that remain stopped when rows replace
// those of the configuration: the ones that still exist and are not teams. A
// changed row remains stopped, so that a new export with another deadline does
// not resume it.
func KeepStopped(c structs.Configuration, rows []structs.SheetRow) []string {
	set := make(map[string]bool)
	for _, n := range c.Stopped {
		after, ok := Find(rows, n)
		set[n] = ok && after.Kind != structs.KindTeam
	}
	return sortedNames(set)
}

// sortedNames returns the names that are true in set.
func sortedNames(set map[string]bool) []string {
	var names []string
	for n, in := range set {
		if in {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// Patch returns rows after adding or replacing the rows of set and deleting the
// removed names. All arguments must be sorted by name.
func Patch(rows, set []structs.SheetRow, removed []string) []structs.SheetRow {
	out := make([]structs.SheetRow, 0, len(rows)+len(set))
	for len(rows) > 0 || len(set) > 0 {
		switch {
		case len(set) > 0 && (len(rows) == 0 || set[0].Name <= rows[0].Name):
			if len(rows) > 0 && set[0].Name == rows[0].Name {
				rows = rows[1:]
			}
			out = append(out, set[0])
			set = set[1:]
		case len(removed) > 0 && removed[0] < rows[0].Name:
			removed = removed[1:]
		case len(removed) > 0 && removed[0] == rows[0].Name:
			rows = rows[1:]
		default:
			out = append(out, rows[0])
			rows = rows[1:]
		}
	}
	return out
}
