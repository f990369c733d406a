package sheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// format describes how the values of one file are written.
type format struct {
	decimalComma bool           // the decimal separator is a comma, not a point
	zone         *time.Location // time zone of deadlines without offset; nil: not known
}

// fileContent is the content of a file without byte order mark and separator line.
type fileContent struct {
	data           []byte
	skipped        int  // lines of the file that precede data
	namedDelimiter rune // delimiter that the separator line names; 0: none
}

const byteOrderMark = "\xef\xbb\xbf"

// delimiters are the accepted delimiters, in the order in which delimiter prefers
// them.
var delimiters = []rune{';', '\t', ','}

// decode checks the encoding of a file and removes the byte order mark and the
// separator line. It returns a fault when the file cannot be read at all.
func decode(data []byte) (t fileContent, fault *Fault) {
	if len(data) > MaxBytes {
		return t, &Fault{Reason: fmt.Sprintf("the file is larger than %d MiB", MaxBytes>>20)}
	}
	if fault := checkEncoding(data); fault != nil {
		return t, fault
	}
	t.data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	if len(bytes.TrimSpace(t.data)) == 0 {
		return t, &Fault{Reason: "the file is empty", Accepted: "a header and rows"}
	}
	return t.withoutSeparatorLine()
}

// checkEncoding returns a fault for a file that is not UTF-8 text, with what it
// probably is instead.
func checkEncoding(data []byte) *Fault {
	const saveAs = `export again as "CSV UTF-8"`
	switch {
	case bytes.HasPrefix(data, []byte("\xff\xfe")) || bytes.HasPrefix(data, []byte("\xfe\xff")):
		return &Fault{Reason: "the file is UTF-16 text, not UTF-8", Accepted: saveAs}
	case bytes.HasPrefix(data, []byte("PK\x03\x04")) || bytes.HasPrefix(data, []byte("\xd0\xcf\x11\xe0")):
		return &Fault{Reason: "the file is a spreadsheet document, not an exported sheet", Accepted: saveAs}
	case bytes.IndexByte(data, 0) >= 0:
		return &Fault{Reason: "the file holds binary data, not text", Accepted: saveAs}
	case !utf8.Valid(data):
		i := firstInvalidByte(data)
		return &Fault{
			FileLine: 1 + bytes.Count(data[:i], []byte("\n")),
			Reason:   fmt.Sprintf("the file is not UTF-8 (byte 0x%02X); it is probably Windows-1251 or Windows-1252", data[i]),
			Accepted: saveAs,
		}
	case bytes.IndexByte(data, '\r') >= 0 && bytes.IndexByte(data, '\n') < 0:
		return &Fault{Reason: "lines end with a carriage return alone", Accepted: "line ends LF or CRLF"}
	}
	return nil
}

// firstInvalidByte returns the offset of the first byte that is not UTF-8.
func firstInvalidByte(data []byte) int {
	for i := 0; i < len(data); {
		r, n := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return len(data)
}

// withoutSeparatorLine removes a first line such as "sep=;". Spreadsheets read the
// delimiter from it and do not show it as a line.
func (t fileContent) withoutSeparatorLine() (fileContent, *Fault) {
	line, rest, _ := bytes.Cut(t.data, []byte("\n"))
	first := strings.Trim(strings.TrimRight(string(line), "\r"), `"`)
	if len(first) < len("sep=") || !strings.EqualFold(first[:len("sep=")], "sep=") {
		return t, nil
	}
	delimiter := strings.Trim(first[len("sep="):], `"`)
	for _, d := range delimiters {
		// A spreadsheet that saves the line as a cell adds delimiters after it.
		if delimiter != "" && strings.Trim(delimiter, string(d)) == "" {
			return fileContent{data: rest, skipped: t.skipped + 1, namedDelimiter: d}, nil
		}
	}
	return t, &Fault{FileLine: 1, Value: shorten(first), Reason: "the line names an unknown delimiter", Accepted: "sep=; or sep=, or sep= with a tab"}
}

// delimiter returns the delimiter of the file: the one in the separator line, or
// the one with which the header has the most known columns, then the most fields.
func (t fileContent) delimiter() rune {
	if t.namedDelimiter != 0 {
		return t.namedDelimiter
	}
	best, bestKnown, bestFields := delimiters[0], -1, 0
	for _, d := range delimiters {
		fields := firstFields(t.data, d)
		known := 0
		for _, f := range fields {
			if _, ok := columnByHeader[headerKey(f)]; ok {
				known++
			}
		}
		if known > bestKnown || known == bestKnown && len(fields) > bestFields {
			best, bestKnown, bestFields = d, known, len(fields)
		}
	}
	return best
}

// firstFields returns the fields of the first record that is not empty.
func firstFields(data []byte, delimiter rune) []string {
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma, r.FieldsPerRecord = delimiter, -1
	for {
		fields, err := r.Read()
		if err != nil {
			return nil
		}
		if fields = withoutTrailing(fields); len(fields) > 0 {
			return fields
		}
	}
}
