package sheet

import (
	"fmt"
	"strings"
)

// Fault is one error in a sheet.
type Fault struct {
	File         string `json:"file,omitempty"`
	Line         int    `json:"line,omitempty"`      // line number that the spreadsheet shows; 0: concerns no single line
	FileLine     int    `json:"file_line,omitempty"` // line of the file, when it differs from Line
	Column       string `json:"column,omitempty"`    // header as written in the file, or the column's name
	ColumnLetter string `json:"letter,omitempty"`    // column letter in the spreadsheet
	Row          string `json:"row,omitempty"`       // name of the row, when it has one
	Value        string `json:"value,omitempty"`     // content of the cell, shortened
	Reason       string `json:"reason"`
	Accepted     string `json:"accepted,omitempty"` // the accepted values
}

// String returns the fault as one sentence that begins with its place.
func (f Fault) String() string {
	var b strings.Builder
	if place := f.Location(); place != "" {
		b.WriteString(place + ": ")
	}
	if f.Value != "" {
		fmt.Fprintf(&b, "%q: ", f.Value)
	}
	b.WriteString(f.Reason)
	if f.Accepted != "" {
		b.WriteString("; accepted: " + f.Accepted)
	}
	return b.String()
}

// Location returns where the fault is, as in "line 7 (line 9 of the file), column
// memory (F), row plan"; empty when it concerns the whole file.
func (f Fault) Location() string {
	var parts []string
	switch {
	case f.Line > 0 && f.FileLine > 0:
		parts = append(parts, fmt.Sprintf("line %d (line %d of the file)", f.Line, f.FileLine))
	case f.Line > 0:
		parts = append(parts, fmt.Sprintf("line %d", f.Line))
	case f.FileLine > 0:
		parts = append(parts, fmt.Sprintf("line %d of the file", f.FileLine))
	}
	if f.Column != "" && f.ColumnLetter != "" {
		parts = append(parts, fmt.Sprintf("column %s (%s)", f.Column, f.ColumnLetter))
	} else if f.Column+f.ColumnLetter != "" {
		parts = append(parts, "column "+f.Column+f.ColumnLetter)
	}
	if f.Row != "" {
		parts = append(parts, "row "+f.Row)
	}
	return strings.Join(parts, ", ")
}

// columnFault is a fault of one column of a row, before its place in the file is
// known.
type columnFault struct {
	column   columnID
	reason   string
	accepted string
}

const maxValueRunes = 60 // longest value shown in a fault, runes

// shorten limits a value that is shown in a message to maxValueRunes.
func shorten(text string) string {
	runes := []rune(text)
	if len(runes) <= maxValueRunes {
		return text
	}
	return string(runes[:maxValueRunes-1]) + "…"
}

// columnLetter returns the spreadsheet's name of a column, which is counted from
// 0: A, B, …, Z, AA.
func columnLetter(column int) string {
	name := ""
	for n := column + 1; n > 0; n = (n - 1) / 26 {
		name = string(rune('A'+(n-1)%26)) + name
	}
	return name
}
