package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// ValidationError is one error in a settings file.
type ValidationError struct {
	File string
	Line int    // from 1; 0: the file lacks the key
	Key  string // dotted; empty: the file is not valid TOML
	Text string
}

// String returns the error with file, line and key.
func (e ValidationError) String() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return position + ": " + e.Text
	}
	return fmt.Sprintf("%s: %s: %s", position, e.Key, e.Text)
}

// ValidationErrors holds all errors in a settings file, ordered by line.
type ValidationErrors []ValidationError

// Error returns the errors, one per line.
func (e ValidationErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, err := range e {
		lines = append(lines, err.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. It returns ValidationErrors, or the error
// of reading the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(filepath.Base(path), string(data))
}

// Parse reads settings from the text of a file and checks them. The file name is
// used in errors only.
func Parse(file, data string) (Settings, error) {
	var tree map[string]any
	meta, err := toml.Decode(data, &tree)
	if err != nil {
		return Settings{}, ValidationErrors{syntaxError(file, err)}
	}
	p := &parser{file: file, lines: keyLines(data, meta.Keys()), values: make(map[string]any)}
	p.flatten("", tree)
	s := Default()
	p.apply(&s)
	p.reportUnknownKeys()
	p.checkRelations(s)
	if len(p.errors) > 0 {
		sort.SliceStable(p.errors, func(i, j int) bool { return p.errors[i].Line < p.errors[j].Line })
		return Settings{}, p.errors
	}
	return s, nil
}

func syntaxError(file string, err error) ValidationError {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return ValidationError{File: file, Line: parse.Position.Line, Key: parse.LastKey, Text: parse.Message}
	}
	return ValidationError{File: file, Text: err.Error()}
}

// parser holds the keys and values of one file and the errors found so far.
type parser struct {
	file   string
	lines  map[string]int // by dotted key
	values map[string]any // by dotted key
	errors ValidationErrors
}

func (p *parser) addError(key, format string, args ...any) {
	p.errors = append(p.errors, ValidationError{File: p.file, Line: p.lines[key], Key: key, Text: fmt.Sprintf(format, args...)})
}

// flatten collects the values by dotted key. A table in place of a value, and an
// empty table that is no section, are kept as values, so that an error names them.
func (p *parser) flatten(prefix string, tree map[string]any) {
	for k, v := range tree {
		key := prefix + k
		if table, ok := v.(map[string]any); ok && !isKnownKey(key) {
			p.flatten(key+".", table)
			if len(table) == 0 && !isSection(key) {
				p.values[key] = v
			}
			continue
		}
		p.values[key] = v
	}
}

func isKnownKey(key string) bool {
	for _, f := range fields {
		if f.key == key {
			return true
		}
	}
	return false
}

func isSection(key string) bool {
	for _, f := range fields {
		if strings.HasPrefix(f.key, key+".") {
			return true
		}
	}
	return false
}

func (p *parser) apply(s *Settings) {
	for _, f := range fields {
		value, ok := p.values[f.key]
		if !ok {
			if f.required {
				p.addError(f.key, "is missing")
			}
			continue
		}
		if err := f.set(s, value); err != nil {
			p.addError(f.key, "%s", strings.ReplaceAll(err.Error(), "\n", "; "))
		}
	}
}

func (p *parser) reportUnknownKeys() {
	keys := make([]string, 0, len(p.values))
	for k := range p.values {
		if !isKnownKey(k) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		p.addError(k, "is not a setting; the nearest is %s", nearestKey(k))
	}
}

// checkRelations checks rules that involve several settings.
func (p *parser) checkRelations(s Settings) {
	if s.Limits.HeldBody > s.Limits.MaxBody {
		p.addError("limits.held_body", "must be at most limits.max_body (%d bytes)", s.Limits.MaxBody)
	}
	listeners := map[string]string{}
	for _, l := range []struct{ key, address string }{
		{"listeners.callers", s.CallerListener}, {"listeners.operators", s.OperatorListener}, {"listeners.peers", s.PeerListener},
	} {
		if other, taken := listeners[l.address]; taken && l.address != "" {
			p.addError(l.key, "is the same address as %s", other)
		}
		listeners[l.address] = l.key
	}
}
