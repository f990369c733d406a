package sheet

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Parse reads a sheet from the bytes of an exported file. It returns rows sorted
// by name, or no rows and every fault found. file is the name of the file in
// faults. zone is the time zone of deadlines without offset; if it is nil, such
// deadlines are faults.
func Parse(file string, data []byte, zone *time.Location) ([]structs.SheetRow, []Fault) {
	p := &parser{names: make(map[string]record)}
	p.parse(data, zone)
	if len(p.faults) > 0 {
		if len(p.faults) > MaxFaults {
			p.faults = append(p.faults[:MaxFaults:MaxFaults], Fault{Reason: fmt.Sprintf("more than %d faults; the rest is not listed", MaxFaults)})
		}
		for i := range p.faults {
			p.faults[i].File = file
		}
		return nil, p.faults
	}
	return SortedByName(p.rows), nil
}

// parser collects the rows and faults of one file.
type parser struct {
	format  format
	header  header
	rows    []structs.SheetRow
	records []record          // by index into rows
	names   map[string]record // first record with each name
	faults  []Fault
}

func (p *parser) parse(data []byte, zone *time.Location) {
	t, fault := decode(data)
	if fault != nil {
		p.faults = append(p.faults, *fault)
		return
	}
	delimiter := t.delimiter()
	p.format = format{decimalComma: delimiter != ',', zone: zone}
	records := newRecordReader(t, delimiter)
	if !p.readHeader(records) {
		return
	}
	for {
		rec, fault, ok := records.read()
		if !ok || len(p.faults) > MaxFaults {
			break
		}
		if fault != nil {
			p.faults = append(p.faults, *fault)
			continue
		}
		if len(p.records) == MaxRows {
			p.faults = append(p.faults, Fault{Line: rec.line, Reason: fmt.Sprintf("the sheet has more than %d rows", MaxRows)})
			return
		}
		p.readRow(rec)
	}
	p.checkTeams()
	sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Line < p.faults[j].Line })
}

// readHeader reads the header and keeps its faults. It reports whether rows can
// be read with it.
func (p *parser) readHeader(records *recordReader) bool {
	rec, fault, ok := records.read()
	switch {
	case !ok:
		p.faults = append(p.faults, Fault{Reason: "the file is empty", Accepted: "a header and rows"})
		return false
	case fault != nil:
		p.faults = append(p.faults, *fault)
		return false
	}
	var faults []Fault
	if p.header, faults = readHeader(rec); len(p.header.fieldOf) == 0 {
		p.faults = append(p.faults, noHeader(rec))
		return false
	}
	p.faults = append(p.faults, faults...)
	return true
}

// readRow reads one record and keeps its row and faults.
func (p *parser) readRow(rec record) {
	row := structs.SheetRow{Importance: structs.ImportanceNormal}
	faulty := make(map[columnID]bool) // columns that already have a fault
	name := ""
	if i, ok := p.header.fieldOf[colName]; ok && i < len(rec.fields) {
		name = strings.TrimSpace(rec.fields[i])
	}
	report := func(field int, cf columnFault) {
		faulty[cf.column] = true
		p.faults = append(p.faults, p.fault(rec, name, field, cf))
	}
	for i, cell := range rec.fields {
		cell = strings.TrimSpace(cell)
		if cell == "" {
			continue
		}
		if i >= len(p.header.columns) || p.header.names[i] == "" {
			report(i, columnFault{"", "a value in a column without header", "an empty cell, or a header for the column"})
			continue
		}
		if c := p.header.columns[i]; c >= 0 {
			if cf := columns[c].read(cell, p.format, &row); cf != nil {
				report(i, *cf)
			}
		}
	}
	for _, cf := range append(p.checkFileRow(rec, &row), checkRow(row)...) {
		if !faulty[cf.column] && !p.header.lacksRequired(cf.column) {
			report(p.fieldOf(cf.column), cf)
		}
	}
	p.checkDuplicate(rec, name)
	p.rows, p.records = append(p.rows, row), append(p.records, rec)
}

// checkFileRow applies the rules that hold only for rows of a file: the cells that
// a row must fill, and those that have no meaning for its kind.
func (p *parser) checkFileRow(rec record, row *structs.SheetRow) []columnFault {
	var found []columnFault
	if row.Kind == structs.KindBatch && p.isEmpty(rec, colCount) {
		row.Count = 1
	}
	if row.Kind == structs.KindService && p.isEmpty(rec, colCount) {
		found = append(found, columnFault{colCount, "a service needs a count of replicas", acceptedCount})
	}
	if row.Kind != structs.KindTeam && p.isEmpty(rec, colCommand) {
		found = append(found, columnFault{colCommand, "the command is missing", "the command that the worker runs"})
	}
	for _, required := range []columnID{colCores, colMemory} {
		if p.isEmpty(rec, required) {
			found = append(found, columnFault{required, "the cell is empty", p.format.show(acceptedSize(required))})
		}
	}
	if p.isEmpty(rec, colKind) {
		found = append(found, columnFault{colKind, "the cell is empty", acceptedKinds})
	}
	for _, c := range columns {
		if row.Kind != "" && !c.allowed(row.Kind) && !p.isEmpty(rec, c.id) && (c.id != colIdempotent || row.Idempotent) {
			found = append(found, columnFault{c.id, fmt.Sprintf("has no meaning for a row of kind %s", row.Kind), "an empty cell"})
		}
	}
	return found
}

// acceptedSize returns the accepted values of the columns cores and memory.
func acceptedSize(c columnID) string {
	if c == colMemory {
		return acceptedMemory
	}
	return acceptedCores
}

// checkDuplicate reports the name of a row if an earlier row has the same.
func (p *parser) checkDuplicate(rec record, name string) {
	if name == "" {
		return
	}
	first, twice := p.names[name]
	if !twice {
		p.names[name] = rec
		return
	}
	cf := columnFault{colName, fmt.Sprintf("the row on line %d has this name", first.line), "names that differ"}
	p.faults = append(p.faults, p.fault(rec, name, p.fieldOf(colName), cf))
}

// checkTeams reports teams that the sheet does not list and, in a sheet that lists
// teams, rows without a team, because no quota would apply to them.
func (p *parser) checkTeams() {
	for _, i := range unlistedTeams(p.rows) {
		cf := columnFault{colTeam, unlistedTeam, "the name of a row of kind team"}
		p.faults = append(p.faults, p.fault(p.records[i], p.rows[i].Name, p.fieldOf(colTeam), cf))
	}
	listed := false
	for _, r := range p.rows {
		listed = listed || r.Kind == structs.KindTeam
	}
	for i, r := range p.rows {
		if listed && r.Team == "" && (r.Kind == structs.KindService || r.Kind == structs.KindBatch) {
			cf := columnFault{colTeam, "the sheet lists teams, but this row names none", "the name of a row of kind team"}
			p.faults = append(p.faults, p.fault(p.records[i], r.Name, p.fieldOf(colTeam), cf))
		}
	}
}

// fieldOf returns the index of the field that holds a column, or -1.
func (p *parser) fieldOf(id columnID) int {
	if i, ok := p.header.fieldOf[id]; ok {
		return i
	}
	return -1
}

// isEmpty reports whether the record has no value in the column.
func (p *parser) isEmpty(rec record, id columnID) bool {
	i := p.fieldOf(id)
	return i < 0 || i >= len(rec.fields) || strings.TrimSpace(rec.fields[i]) == ""
}

// fault returns the fault of a column with its place in the file.
func (p *parser) fault(rec record, name string, field int, cf columnFault) Fault {
	f := rec.fault()
	f.Row, f.Column, f.Reason, f.Accepted = shorten(name), string(cf.column), cf.reason, p.format.show(cf.accepted)
	if field >= 0 {
		f.ColumnLetter = columnLetter(field)
	}
	if field >= 0 && field < len(p.header.names) && p.header.names[field] != "" {
		f.Column = shorten(p.header.names[field])
	}
	if field >= 0 && field < len(rec.fields) {
		f.Value = shorten(strings.TrimSpace(rec.fields[field]))
	}
	return f
}
