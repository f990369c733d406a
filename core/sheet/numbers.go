package sheet

import (
	"math"
	"math/bits"
	"strings"
	"unicode"
)

const (
	millionthsPerOne = 1_000_000 // decimals are stored as millionths
	decimalPlaces    = 6
	maxWholeDigits   = 12 // digits before the separator; the value stays within an int64
)

// parseDecimal parses a number without sign into millionths. Decimals are written
// with the separator of the format; groups of three digits may be separated by
// spaces. Any other separator is an error, because 1.024 is a little over one in
// some countries and over a thousand in others.
func parseDecimal(text string, f format) (value int64, reason string) {
	separator, other := ".", ","
	if f.decimalComma {
		separator, other = other, separator
	}
	if strings.Contains(text, other) {
		return 0, "decimals in this sheet are written with " + separatorName(separator) + ", not " + separatorName(other)
	}
	whole, fraction, _ := strings.Cut(text, separator)
	whole, grouped := ungroup(whole)
	if !grouped || !isDigits(whole) || fraction != "" && !isDigits(fraction) || strings.HasSuffix(text, separator) {
		return 0, "not a number"
	}
	if len(strings.TrimLeft(whole, "0")) > maxWholeDigits {
		return 0, "the number is too large"
	}
	if len(fraction) > decimalPlaces {
		return 0, "the number has more than six decimals"
	}
	for _, d := range whole + fraction + strings.Repeat("0", decimalPlaces-len(fraction)) {
		value = value*10 + int64(d-'0')
	}
	return value, ""
}

// separatorName returns the name of a decimal separator for messages.
func separatorName(s string) string {
	if s == "," {
		return "a comma"
	}
	return "a point"
}

// ungroup removes spaces that separate groups of three digits. ok is false when
// there are spaces elsewhere.
func ungroup(text string) (plain string, ok bool) {
	groups := strings.FieldsFunc(text, unicode.IsSpace)
	for i, g := range groups {
		if i > 0 && len(g) != 3 || i == 0 && len(groups) > 1 && len(g) > 3 {
			return "", false
		}
	}
	return strings.Join(groups, ""), true
}

// isDigits reports whether text consists of one or more ASCII digits.
func isDigits(text string) bool {
	for _, r := range text {
		if r < '0' || r > '9' {
			return false
		}
	}
	return text != ""
}

// parseWhole parses a whole number.
func parseWhole(text string, f format) (value int, reason string) {
	v, reason := parseDecimal(text, f)
	if reason != "" {
		return 0, reason
	}
	if v%millionthsPerOne != 0 {
		return 0, "not a whole number"
	}
	return int(v / millionthsPerOne), ""
}

// scaleUp returns millionths * factor / divisor. It rounds up, so that a declared
// size is never reduced, and saturates at the largest int64.
func scaleUp(millionths, factor, divisor int64) int64 {
	hi, lo := bits.Mul64(uint64(millionths), uint64(factor))
	if hi >= uint64(divisor) {
		return math.MaxInt64
	}
	quotient, remainder := bits.Div64(hi, lo, uint64(divisor))
	if quotient >= math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(quotient + min(remainder, 1))
}

// memoryUnits maps the units of memory to bytes. 1 GB is 1000 MB; units with an i
// are powers of 1024.
var memoryUnits = map[string]int64{
	"": 1e9, "mb": 1e6, "m": 1e6, "gb": 1e9, "g": 1e9, "tb": 1e12, "t": 1e12,
	"mib": 1 << 20, "gib": 1 << 30, "tib": 1 << 40,
	"мб": 1e6, "гб": 1e9, "тб": 1e12,
}

// parseMegabytes parses an amount of memory into megabytes, rounded up.
func parseMegabytes(text string, f format) (mb int64, reason string) {
	number, unit := splitUnit(text)
	bytes, ok := memoryUnits[strings.ToLower(unit)]
	if !ok {
		return 0, "unknown unit " + shorten(unit)
	}
	v, reason := parseDecimal(number, f)
	if reason != "" {
		return 0, reason
	}
	return scaleUp(v, bytes, millionthsPerOne*1e6), ""
}

// splitUnit splits a number from the letters that follow it.
func splitUnit(text string) (number, unit string) {
	i := strings.IndexFunc(text, unicode.IsLetter)
	if i < 0 {
		return text, ""
	}
	return strings.TrimSpace(text[:i]), strings.TrimSpace(text[i:])
}

// timeUnits maps the units of time to milliseconds.
var timeUnits = map[string]int64{
	"ms": 1, "s": secondMS, "sec": secondMS, "m": minuteMS, "min": minuteMS, "h": hourMS, "d": dayMS,
	"мс": 1, "с": secondMS, "сек": secondMS, "м": minuteMS, "мин": minuteMS, "ч": hourMS, "д": dayMS,
}

// maxTimeMS limits a duration while it is parsed, so that sums cannot overflow.
// The limits of its column are checked later.
const maxTimeMS = 100_000 * dayMS

// parseDurationMS parses a duration such as 2h30m into milliseconds, rounded up.
func parseDurationMS(text string, f format) (ms int64, reason string) {
	rest := strings.TrimSpace(strings.ToLower(text))
	if rest == "" {
		return 0, "no length of time"
	}
	for rest != "" {
		begin := strings.IndexFunc(rest, unicode.IsLetter)
		if begin < 0 {
			return 0, "a unit is missing"
		}
		end := begin + strings.IndexFunc(rest[begin:]+"0", func(r rune) bool { return !unicode.IsLetter(r) })
		unit, ok := timeUnits[rest[begin:end]]
		if !ok {
			return 0, "unknown unit " + shorten(rest[begin:end])
		}
		v, reason := parseDecimal(strings.TrimSpace(rest[:begin]), f)
		if reason != "" {
			return 0, reason
		}
		part := scaleUp(v, unit, millionthsPerOne)
		if part > maxTimeMS-ms {
			return 0, "the time is too long"
		}
		ms += part
		rest = strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(rest[end:]), "."))
	}
	return ms, ""
}
