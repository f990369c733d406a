// Package render turns the results of commands into the text and JSON that
// tamarackctl prints. All functions are pure: the table, the JSON and the exit
// status of a report depend only on its value.
package render

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Exit statuses of the command.
const (
	ExitDone        = 0 // done
	ExitRefused     = 1 // refused, conflict, or a sheet with faults; nothing was changed
	ExitUsage       = 2 // wrong arguments, or the file cannot be read
	ExitUnreachable = 3 // no entry host could be reached; nothing was changed
	ExitUnknown     = 4 // the outcome of a change is unknown
	ExitHostError   = 5 // an entry host answered with an error
)

// Report is the result of one command. Only the types of this package implement
// it.
type Report interface {
	// Table returns the human-readable text, which ends with a newline.
	Table() string
	// Document returns the value whose JSON encoding is the output for scripts.
	Document() any
	// ExitStatus returns one of the exit statuses of the command.
	ExitStatus() int
}

// Origin holds the command and the file of a report, and the entry host that
// responded.
type Origin struct {
	Command    string `json:"command"`
	AnsweredBy string `json:"answered_by,omitempty"` // IP:port of the operator listener
	File       string `json:"file,omitempty"`        // the sheet, or the event log of a replay
}

// JSON returns the indented JSON of a report's document.
func JSON(r Report) string {
	text, err := json.MarshalIndent(r.Document(), "", "  ")
	if err != nil {
		// Cannot happen: documents hold only strings, numbers, booleans, and lists
		// and maps of them.
		panic(fmt.Sprintf("cannot encode the report %T: %v", r, err))
	}
	return string(text) + "\n"
}

// table aligns rows of cells under a header, whose cells are separated by tabs.
func table(header string, rows [][]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, cells := range rows {
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	w.Flush()
	lines := strings.Split(b.String(), "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	return strings.Join(lines, "\n")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// countNoun returns a number with its noun in the singular or plural, as in
// "1 row" or "2 rows".
func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// oneLine replaces the control characters of a text, such as line breaks in a
// command, with spaces so that it fits in a table cell.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}

// shellWord quotes an argument of a command that the operator may copy into a
// shell, where it needs quotes.
func shellWord(word string) string {
	if word != "" && !strings.ContainsFunc(word, func(r rune) bool {
		return !(r == '.' || r == '/' || r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' || r > 0x7f)
	}) {
		return word
	}
	return "'" + strings.ReplaceAll(oneLine(word), "'", `'\''`) + "'"
}
