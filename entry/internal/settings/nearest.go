package settings

import (
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

// nearestKey returns the known key to suggest for an unknown one: a key of the same
// table whose name contains the unknown name, or else the key with the smallest
// edit distance.
func nearestKey(key string) string {
	for _, f := range fields {
		table, name := splitKey(f.key)
		if t, part := splitKey(key); t == table && strings.Contains(name, part) {
			return f.key
		}
	}
	best, least := "", -1
	for _, f := range fields {
		if d := editDistance(key, f.key); least < 0 || d < least {
			best, least = f.key, d
		}
	}
	return best
}

// splitKey returns the table and the name of a dotted key.
func splitKey(key string) (table, name string) {
	i := strings.LastIndexByte(key, '.')
	return key[:i+1], key[i+1:]
}

// editDistance returns the Levenshtein distance of two short ASCII strings.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// keyLines returns the line number of each key. The TOML library reports the keys
// in file order but without lines, so the search for each key begins at the line
// of the previous one.
func keyLines(data string, keys []toml.Key) map[string]int {
	lines := strings.Split(data, "\n")
	found := make(map[string]int, len(keys))
	from := 0
	for _, k := range keys {
		header := regexp.MustCompile(`^\s*\[+\s*` + keyPattern(k) + `\s*\]`)
		last := regexp.MustCompile(`(^\s*|[{,.]\s*)` + keyPattern(k[len(k)-1:]) + `\s*=`)
		for i := from; i < len(lines); i++ {
			if header.MatchString(lines[i]) || last.MatchString(lines[i]) {
				found[strings.Join(k, ".")] = i + 1
				from = i
				break
			}
		}
	}
	return found
}

// keyPattern returns a regular expression that matches a dotted key, with or
// without quotes around its parts.
func keyPattern(k toml.Key) string {
	parts := make([]string, 0, len(k))
	for _, p := range k {
		parts = append(parts, `["']?`+regexp.QuoteMeta(p)+`["']?`)
	}
	return strings.Join(parts, `\s*\.\s*`)
}
