package sheet

import (
	"fmt"
	"strings"
)

// header maps the fields of a file to columns.
type header struct {
	names   []string         // headers as written
	columns []int            // by field: index into the package's columns; -1: none
	fieldOf map[columnID]int // index of the field that holds a column
}

// readHeader reads the header from the first record. The header can be used to
// read rows even if it has faults.
func readHeader(rec record) (header, []Fault) {
	h := header{fieldOf: make(map[columnID]int)}
	var faults []Fault
	for i, name := range rec.fields {
		name = strings.TrimSpace(name)
		h.names = append(h.names, name)
		index, known := columnByHeader[headerKey(name)]
		switch first, twice := h.find(known, index); {
		case name == "":
			index = -1
		case !known:
			index = -1
			faults = append(faults, headerFault(rec, i, name, "unknown column", headerNames()))
		case twice:
			index = -1
			faults = append(faults, headerFault(rec, i, name, "the column is there twice, first as "+columnLetter(first), "one column of each name"))
		default:
			h.fieldOf[columns[index].id] = i
		}
		h.columns = append(h.columns, index)
	}
	for _, c := range columns {
		if _, ok := h.fieldOf[c.id]; c.required && !ok {
			f := rec.fault()
			f.Column, f.Reason = string(c.id), "the column is missing"
			f.Accepted = "one of the headers " + strings.Join(c.headers, ", ")
			faults = append(faults, f)
		}
	}
	return h, faults
}

// find returns the field that already holds the column with this index. known is
// false for an unknown column, which has no index.
func (h header) find(known bool, index int) (field int, found bool) {
	if !known {
		return 0, false
	}
	field, found = h.fieldOf[columns[index].id]
	return field, found
}

// headerFault returns a fault of one field of the header.
func headerFault(rec record, field int, name, reason, accepted string) Fault {
	f := rec.fault()
	f.Column, f.ColumnLetter, f.Reason, f.Accepted = shorten(name), columnLetter(field), reason, accepted
	return f
}

// lacksRequired reports whether the file lacks this column and must have it. That
// is one fault of the header, not one of each row.
func (h header) lacksRequired(id columnID) bool {
	if _, ok := h.fieldOf[id]; ok {
		return false
	}
	for _, c := range columns {
		if c.id == id {
			return c.required
		}
	}
	return false
}

// noHeader returns the fault of a file whose first record names no known column.
func noHeader(rec record) Fault {
	f := rec.fault()
	f.Value = shorten(strings.Join(rec.fields, " "))
	f.Reason = "the first line is not a header: it names no known column"
	f.Accepted = fmt.Sprintf("a first line with the columns %s, separated by semicolons, tabs or commas", headerNames())
	return f
}
