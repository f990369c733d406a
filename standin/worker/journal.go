package worker

import (
	"bufio"
	"encoding/json"
	"log/slog"
	"os"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/api/wire"
)

// Journal is a file of JSON lines, one wire.JournalEntry each. An appended line
// survives a kill of the process, so an audit sees every entry.
type Journal struct{ file *os.File }

// OpenJournal opens the file for appending and creates it if it does not exist.
func OpenJournal(path string) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, oops.With("path", path).Wrapf(err, "open journal")
	}
	return &Journal{file: file}, nil
}

// appendEntry writes one line. A nil journal discards it.
func (j *Journal) appendEntry(e wire.JournalEntry) {
	if j == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = j.file.Write(append(line, '\n'))
	}
	if err != nil {
		slog.Error("worker: cannot write journal entry", "error", err)
	}
}

// ReadJournal returns the entries of a journal. An incomplete last line is
// ignored: the process was killed while it wrote the line.
func ReadJournal(path string) ([]wire.JournalEntry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, oops.With("path", path).Wrapf(err, "open journal")
	}
	defer func() { _ = file.Close() }()
	var entries []wire.JournalEntry
	for reader := bufio.NewReader(file); ; {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return entries, nil
		}
		var e wire.JournalEntry
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, oops.With("path", path).Wrapf(err, "read journal")
		}
		entries = append(entries, e)
	}
}
