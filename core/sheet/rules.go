package sheet

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// The rules in this file hold for every row, in whatever encoding it arrived. The
// reducer relies on them.

// checkRow returns the faults of a row that do not depend on other rows.
func checkRow(r structs.SheetRow) []columnFault {
	var found []columnFault
	add := func(column columnID, reason, accepted string) {
		if reason != "" {
			found = append(found, columnFault{column, reason, accepted})
		}
	}
	if reason := checkName(r.Name); reason != "" {
		add(colName, reason, acceptedName)
	} else if r.Kind == structs.KindService {
		add(colName, checkServiceName(r.Name), acceptedService)
	}
	switch r.Kind {
	case structs.KindService, structs.KindBatch, structs.KindTeam:
	default:
		add(colKind, "not a kind of row", acceptedKinds)
	}
	add(colTeam, checkText(r.Team, MaxNameBytes), "the name of a team")
	add(colCommand, checkText(r.Command, MaxTextBytes), fmt.Sprintf("text of at most %d bytes", MaxTextBytes))
	if r.Importance < structs.ImportanceLow || r.Importance > structs.ImportanceUrgent {
		add(colImportance, "not a level of importance", acceptedImportance)
	}
	if r.Kind == structs.KindService || r.Kind == structs.KindBatch {
		add(colCount, checkRange(int64(r.Count), 1, maxCount), acceptedCount)
	}
	return append(append(found, checkSizes(r)...), checkTimes(r)...)
}

// checkSizes checks processors, memory and accelerators.
func checkSizes(r structs.SheetRow) []columnFault {
	factor := int64(1)
	if r.Kind == structs.KindTeam {
		factor = maxTeamFactor
	}
	var found []columnFault
	if reason := checkRange(r.Request.MilliCores, 1, maxMilliCores*factor); reason != "" {
		found = append(found, columnFault{colCores, reason, acceptedCores})
	}
	if reason := checkRange(r.Request.MemoryMB, 1, maxMemoryMB*factor); reason != "" {
		found = append(found, columnFault{colMemory, reason, acceptedMemory + "; at most 16 TB (a team's quota: 8000 TB)"})
	}
	if reason := checkRange(r.Request.Accelerators, 0, maxAccelerators*factor); reason != "" {
		found = append(found, columnFault{colAccelerators, reason, acceptedAccelerator})
	}
	return found
}

// checkTimes checks the optional times of a row; 0 means that there is none.
func checkTimes(r structs.SheetRow) []columnFault {
	var found []columnFault
	if r.DeadlineUnixMS != 0 && checkRange(r.DeadlineUnixMS, minDeadlineUnixMS, maxDeadlineUnixMS) != "" {
		found = append(found, columnFault{colDeadline, "the year is out of range", acceptedDeadline})
	}
	if reason := checkRange(r.RunTimeMS, 0, maxRunTimeMS); reason != "" {
		found = append(found, columnFault{colRunTime, reason, acceptedDuration + ", at most 400 days"})
	}
	if reason := checkRange(r.LatencyTargetMS, 0, maxLatencyTargetMS); reason != "" {
		found = append(found, columnFault{colLatencyTarget, reason, acceptedDuration + ", at most 10 minutes"})
	}
	return found
}

// checkRange returns why v is not between least and most, or an empty string.
func checkRange(v, least, most int64) string {
	switch {
	case v < least && v == 0:
		return "must not be zero"
	case v < least:
		return "too small"
	case v > most:
		return "too large"
	}
	return ""
}

// checkName returns why a name is not accepted, or an empty string. A name must be
// usable as a segment of URL paths and row keys, and must not contain invisible
// characters, by which two names could differ unnoticed.
func checkName(name string) string {
	switch {
	case name == "":
		return "the name is missing"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("the name is longer than %d bytes", MaxNameBytes)
	case name == "." || name == "..":
		return "the name cannot be part of a URL path"
	case strings.TrimSpace(name) != name:
		return "the name begins or ends with a space"
	case !utf8.ValidString(name):
		return "the name is not UTF-8"
	}
	for _, r := range name {
		switch {
		case strings.ContainsRune(`/\?#%`, r):
			return fmt.Sprintf("the name contains %q", r)
		case r == utf8.RuneError:
			return "the name contains U+FFFD, the mark of text damaged by a conversion"
		case !unicode.IsPrint(r):
			return fmt.Sprintf("the name contains the invisible character %U", r)
		}
	}
	return ""
}

// checkServiceName returns why a name is not accepted for a service, or an empty
// string. Callers put the name into the first segment of a URL path, which is
// compared in its escaped form, so no character of it may need escaping.
func checkServiceName(name string) string {
	for _, r := range name {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-._~", r)) {
			return fmt.Sprintf("callers name the service in a URL, where %q cannot stand", r)
		}
	}
	return ""
}

// checkText returns why text is not accepted, or an empty string. Control
// characters other than line ends and tabs are not accepted.
func checkText(text string, limit int) string {
	if len(text) > limit {
		return fmt.Sprintf("longer than %d bytes", limit)
	}
	if !utf8.ValidString(text) {
		return "not UTF-8"
	}
	for _, r := range text {
		if unicode.IsControl(r) && r != '\n' && r != '\t' {
			return fmt.Sprintf("contains the control character %U", r)
		}
	}
	return ""
}

// unlistedTeams returns the indexes of the rows whose team the sheet does not list.
// A sheet without rows of kind team lists none and has no quotas, so that any team
// is accepted.
func unlistedTeams(rows []structs.SheetRow) []int {
	teams := make(map[string]bool)
	for _, r := range rows {
		if r.Kind == structs.KindTeam {
			teams[r.Name] = true
		}
	}
	if len(teams) == 0 {
		return nil
	}
	var unlisted []int
	for i, r := range rows {
		if r.Kind != structs.KindTeam && r.Team != "" && !teams[r.Team] {
			unlisted = append(unlisted, i)
		}
	}
	return unlisted
}

// unlistedTeam is the reason of the fault of a row whose team is not listed.
const unlistedTeam = "the sheet lists teams, but not this one"
