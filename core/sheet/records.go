package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
)

// record is one line of the spreadsheet, which may span several lines of the file.
type record struct {
	line     int // line number that the spreadsheet shows, from 1
	fileLine int // line of the file on which it begins, from 1
	fields   []string
}

// recordReader reads records and numbers them as a spreadsheet does: a record
// whose fields contain line breaks is one line, and blank lines count.
type recordReader struct {
	csv          *csv.Reader
	content      fileContent
	offset       int64 // bytes of content.data consumed
	nextLine     int   // line of content.data that follows the consumed bytes, from 1
	linesCounted int   // spreadsheet lines before nextLine
}

func newRecordReader(t fileContent, delimiter rune) *recordReader {
	c := csv.NewReader(bytes.NewReader(t.data))
	c.Comma, c.FieldsPerRecord = delimiter, -1
	return &recordReader{csv: c, content: t, nextLine: 1}
}

// read returns the next record that is not blank. ok is false at the end. A record
// with misplaced quotation marks has a fault and no fields.
func (r *recordReader) read() (rec record, fault *Fault, ok bool) {
	for {
		fields, err := r.csv.Read()
		if err == io.EOF {
			return record{}, nil, false
		}
		begin := r.nextLine
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			begin = parseErr.StartLine
		} else if err == nil {
			begin, _ = r.csv.FieldPos(0)
		}
		rec := r.numberRecord(begin)
		rec.fields = withoutTrailing(fields)
		if err != nil {
			return rec, quoteFault(rec, err), true
		}
		if len(rec.fields) > maxFields {
			f := rec.fault()
			f.Reason = fmt.Sprintf("the line has more than %d fields", maxFields)
			return rec, &f, true
		}
		if len(rec.fields) > 0 {
			return rec, nil, true
		}
	}
}

// withoutTrailing removes empty fields from the end of a line. Spreadsheets write
// up to 16,384 of them.
func withoutTrailing(fields []string) []string {
	for len(fields) > 0 && strings.TrimSpace(fields[len(fields)-1]) == "" {
		fields = fields[:len(fields)-1]
	}
	return fields
}

// numberRecord returns a record without fields that begins on a line of
// content.data, with its line numbers, and counts the lines up to its end.
func (r *recordReader) numberRecord(begin int) record {
	r.linesCounted += begin - r.nextLine + 1 // the preceding blank lines and the record
	consumed := r.csv.InputOffset()
	r.nextLine += bytes.Count(r.content.data[r.offset:consumed], []byte("\n"))
	r.offset = consumed
	return record{line: r.linesCounted, fileLine: begin + r.content.skipped}
}

// quoteFault returns the fault of a record that cannot be split into fields.
func quoteFault(rec record, err error) *Fault {
	f := rec.fault()
	f.Reason = "a quotation mark stands where none may be, or its partner is missing"
	f.Accepted = `fields in quotation marks, with "" for a quotation mark inside`
	var parseErr *csv.ParseError
	if !errors.As(err, &parseErr) {
		f.Reason = err.Error()
	}
	return &f
}

// fault returns a fault without reason at the place of the record.
func (r record) fault() Fault {
	f := Fault{Line: r.line}
	if r.fileLine != r.line {
		f.FileLine = r.fileLine
	}
	return f
}
