package control

import (
	"fmt"
	"strings"
)

const (
	maxSubjects          = 4096 // tasks, workers, partitions and configurations whose records are kept
	maxCallSubjects      = 1024 // calls whose records are kept; separate, since calls would evict all other subjects within seconds
	maxRecordsPerSubject = 16   // newest records kept of each subject
)

// explanations keeps the newest decision records by subject. An ExplainReply
// holds the same records as the decision log.
type explanations struct {
	subjects subjectLog
	calls    subjectLog
}

func newExplanations() explanations {
	return explanations{subjects: newSubjectLog(maxSubjects), calls: newSubjectLog(maxCallSubjects)}
}

// Bounds of the texts of a decision record, in bytes. Workers, targets and the store give
// reasons of any length, and the records are kept in memory and logged.
const (
	maxReasonBytes  = 1024
	maxSubjectBytes = 512
)

// shortened returns the text cut to a number of bytes, without a part of a character at
// its end.
func shortened(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	const mark = "..."
	return strings.ToValidUTF8(text[:limit-len(mark)], "") + mark
}

func (e *explanations) add(d DecisionRecord) {
	if d.Part == "routing" {
		e.calls.add(d)
		return
	}
	e.subjects.add(d)
}

// find returns the records of a subject. The name of a row finds the records of
// its tasks.
func (e *explanations) find(subject string) []DecisionRecord {
	found := append(append([]DecisionRecord(nil), e.subjects.bySubject[subject]...), e.calls.bySubject[subject]...)
	if len(found) > 0 {
		return found
	}
	return e.subjects.findPrefix(subject + ".")
}

// subjectLog keeps the records of a bounded number of subjects.
type subjectLog struct {
	limit     int
	bySubject map[string][]DecisionRecord
	order     []string // subjects, oldest first
}

func newSubjectLog(limit int) subjectLog {
	return subjectLog{limit: limit, bySubject: make(map[string][]DecisionRecord)}
}

func (l *subjectLog) add(d DecisionRecord) {
	records, known := l.bySubject[d.Subject]
	if !known {
		if len(l.order) >= l.limit {
			delete(l.bySubject, l.order[0])
			l.order = l.order[1:]
		}
		l.order = append(l.order, d.Subject)
	}
	if len(records) >= maxRecordsPerSubject {
		records = append(records[:0:0], records[1:]...)
	}
	l.bySubject[d.Subject] = append(records, d)
}

// findPrefix returns the records of all subjects with the prefix, oldest
// subject first.
func (l *subjectLog) findPrefix(prefix string) []DecisionRecord {
	var found []DecisionRecord
	for _, name := range l.order {
		if strings.HasPrefix(name, prefix) {
			found = append(found, l.bySubject[name]...)
		}
	}
	return found
}

func (s *State) explainRequested(r ExplainRequested) {
	reply := ExplainReply{Subject: r.Subject, Records: s.explanations.find(r.Subject)}
	switch n := len(reply.Records); n {
	case 0:
		reply.Summary = fmt.Sprintf("this entry host made no decision about %s lately", r.Subject)
	default:
		last := reply.Records[n-1]
		reply.Summary = strings.TrimSpace(fmt.Sprintf("%s: %s %s", last.Part, last.Action, last.Reason))
	}
	s.emit(OperatorReply{Request: r.Request, Reply: reply})
}
