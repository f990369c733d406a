package control

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	applyTimeout      = 10 * time.Second // after this an apply without an answer is reported as unknown
	removalShareLimit = 0.20             // share of the running rows; larger removals need a confirmation
	maxWaitingApplies = 16               // requests in memory, each with up to a whole sheet; further ones are refused
	maxAuthorBytes    = 200              // the author is part of rows and messages
	// maxConfigurationBytes keeps a configuration within one object and one message
	// between hosts, of which 16 MB are read.
	maxConfigurationBytes = 15_000_000
)

// pendingApply is an operator's request to change the configuration, in
// progress.
type pendingApply struct {
	request         OperatorRequestID
	author          string
	rows            []structs.SheetRow // requested rows; nil for a stop or resume
	stop            []string
	resume          bool
	base            structs.Generation
	confirmRemovals int
	planOnly        bool
	attempt         uint64
	before          structs.Configuration // in force when result was computed
	result          structs.Configuration
	reply           ApplyReply
	began           Instant
}

func (s *State) applyRequested(r ApplyRequested) {
	rows := r.Rows
	if rows == nil {
		rows = []structs.SheetRow{}
	}
	s.enqueueApply(&pendingApply{
		request: r.Request, author: r.Author, rows: rows, base: r.Base, confirmRemovals: r.ConfirmRemovals, planOnly: r.PlanOnly,
	})
}

func (s *State) stopRequested(r StopRequested) {
	s.enqueueApply(&pendingApply{request: r.Request, author: r.Author, stop: r.Rows, resume: r.Resume})
}

// enqueueApply queues a request. Each host handles one at a time; the condition
// on the head row decides between concurrent changes of several hosts.
func (s *State) enqueueApply(a *pendingApply) {
	a.began = s.now
	if reason := s.applyRefusal(a); reason != "" {
		s.refuseApply(a, reason)
		return
	}
	if a.base == 0 {
		a.base = s.config.current.Generation
	}
	s.config.applies = append(s.config.applies, a)
	if len(s.config.applies) == 1 {
		s.beginApply(a)
	}
}

// applyRefusal returns why a request is refused at once, or an empty string.
func (s *State) applyRefusal(a *pendingApply) string {
	switch {
	case len(a.author) > maxAuthorBytes:
		return fmt.Sprintf("the author is longer than %d bytes", maxAuthorBytes)
	case len(s.config.applies) >= maxWaitingApplies:
		return fmt.Sprintf("%d changes wait on this entry host; try again later", len(s.config.applies))
	}
	return ""
}

// refuseApply answers a request that is not queued.
func (s *State) refuseApply(a *pendingApply, reason string) {
	s.emit(OperatorReply{Request: a.request, Reply: ApplyReply{Generation: s.config.current.Generation, Outcome: OutcomeNotDone, Reason: reason}})
	s.recordDecision(DecisionRecord{
		Part: "config", Action: "refused", Subject: fmt.Sprintf("generation %d", s.config.current.Generation), Where: a.author, Reason: reason,
	})
}

// beginApply computes the next generation from the configuration in force and
// starts to store it.
func (s *State) beginApply(a *pendingApply) {
	if !s.config.headRead || s.config.head.Generation > s.config.current.Generation {
		s.waitForNewest(a)
		return
	}
	merged, reply := s.mergeApply(a)
	a.reply = reply
	if reply.Reason != "" || a.planOnly || len(reply.Changes) == 0 && a.rows != nil {
		if reply.Reason == "" && !a.planOnly {
			reply.Accepted, reply.Outcome = true, OutcomeDone
		}
		s.endApply(a, reply)
		return
	}
	s.config.lastAttempt++
	a.attempt = s.config.lastAttempt
	a.before, a.result = s.config.current, merged
	name := fmt.Sprintf("sheets/%012d-%s-%d", merged.Generation, s.self.Instance, a.attempt)
	s.emit(sheetWrite{apply: a, name: name}.write(s))
}

// waitForNewest delays the first apply until the newest configuration is in
// force here, and ends it after applyTimeout.
func (s *State) waitForNewest(a *pendingApply) {
	if s.now-a.began > applyTimeout {
		s.endApply(a, ApplyReply{
			Outcome: OutcomeNotDone, Reason: "this entry host cannot reach the newest configuration; nothing was changed",
		})
		return
	}
	s.config.applyWaiting = true
	s.setTimer(s.now+configRetryInterval, timerApplyWait, 0)
}

// resumeApply tries the waiting apply again.
func (s *State) resumeApply() {
	if !s.config.applyWaiting {
		return
	}
	s.config.applyWaiting = false
	s.beginApply(s.config.applies[0])
}

// mergeApply returns the next configuration and a preliminary reply. A reply
// with a Reason is a refusal.
func (s *State) mergeApply(a *pendingApply) (structs.Configuration, ApplyReply) {
	current := s.config.current
	next := structs.Configuration{Generation: current.Generation + 1, Author: a.author, Rows: current.Rows}
	reply := ApplyReply{Generation: current.Generation, Base: a.base}
	if a.rows == nil {
		stopped, unknown := sheet.SetStopped(current, a.stop, a.resume)
		if unknown != "" {
			reply.Reason = fmt.Sprintf("no service or batch row named %q is in force", unknown)
		}
		next.Stopped = stopped
		reply.Reason = cmp.Or(reply.Reason, sizeRefusal(&next))
		return next, reply
	}
	base, ok := s.config.generation(a.base)
	if !ok {
		reply.Reason = fmt.Sprintf("generation %d is too old to merge with; plan again", a.base)
		return next, reply
	}
	merge := sheet.Merge(base.Rows, current.Rows, a.rows)
	for _, c := range merge.Changes {
		reply.Changes = append(reply.Changes, RowChange(c))
	}
	for _, c := range merge.Conflicts {
		reply.Conflicts = append(reply.Conflicts, RowChange(c))
	}
	if len(reply.Conflicts) > 0 {
		reply.OtherAuthor = s.authorsOf(base.Generation, merge.Conflicts)
		reply.Reason = fmt.Sprintf("%d rows were changed by %s since generation %d", len(reply.Conflicts), reply.OtherAuthor, base.Generation)
		return next, reply
	}
	removed, running := sheet.CountRemovals(current, merge.Rows)
	reply.RunningRowsRemoved, reply.RunningRows = removed, running
	if float64(removed) > removalShareLimit*float64(running) {
		reply.ConfirmRemovals = removed
	}
	if reply.ConfirmRemovals != a.confirmRemovals && reply.ConfirmRemovals > 0 && !a.planOnly {
		reply.Reason = fmt.Sprintf("the sheet removes %d of %d running rows; confirm the number to go on", removed, running)
		return next, reply
	}
	next.Rows = merge.Rows
	next.Stopped = sheet.KeepStopped(current, merge.Rows)
	reply.Reason = sizeRefusal(&next)
	return next, reply
}

// sizeRefusal returns why a configuration is too large to be stored and sent, or an
// empty string. Merged changes may be too large although each of them is not.
func sizeRefusal(c *structs.Configuration) string {
	switch n, tasks := c.Bytes(), sheet.TotalTasks(c.Rows); {
	case tasks > sheet.MaxTasks:
		return fmt.Sprintf("the sheet asks for %d replicas and tasks with the changes of others; at most %d are accepted", tasks, sheet.MaxTasks)
	case len(c.Rows) > sheet.MaxRows:
		return fmt.Sprintf("the sheet has %d rows with the changes of others; at most %d are accepted", len(c.Rows), sheet.MaxRows)
	case n > maxConfigurationBytes:
		return fmt.Sprintf("the sheet takes %d bytes with the changes of others; at most %d are accepted", n, maxConfigurationBytes)
	}
	return ""
}

// authorsOf returns the authors of the generations after base that changed the
// conflicting rows, in the order of their changes. If this host skipped
// generations, their changes are attributed to the author of the next
// generation that it has.
func (s *State) authorsOf(base structs.Generation, conflicts []sheet.Change) string {
	inConflict := make(map[string]bool, len(conflicts))
	for _, c := range conflicts {
		inConflict[c.Name] = true
	}
	touches := func(d ConfigDelta) bool {
		return slices.ContainsFunc(d.Removed, func(name string) bool { return inConflict[name] }) ||
			slices.ContainsFunc(d.Set, func(r structs.SheetRow) bool { return inConflict[r.Name] })
	}
	var authors []string
	for _, c := range s.config.history {
		if c.undo.Base > base && !slices.Contains(authors, c.author) && touches(c.undo) {
			authors = append(authors, c.author)
		}
	}
	return strings.Join(authors, ", ")
}

// sheetWrite handles the object write that precedes the commit. Each apply
// attempt writes an object with a unique name, so a retry is harmless.
type sheetWrite struct {
	apply *pendingApply
	name  string
}

func (w sheetWrite) write(s *State) WriteObject {
	return WriteObject{ID: s.effectID(w), Name: w.name, Configuration: w.apply.result, Timeout: objectTimeout}
}

func (w sheetWrite) complete(s *State, result EventBody) {
	r := result.(ObjectWritten)
	if r.Rejected {
		w.apply.reply.Outcome, w.apply.reply.Reason = OutcomeNotDone, "the object store refuses the sheet for good; nothing was changed"
		s.endApply(w.apply, w.apply.reply)
		return
	}
	if r.Outcome != OutcomeDone {
		if s.now-w.apply.began > applyTimeout {
			w.apply.reply.Reason = "the object store does not answer; nothing was changed"
			s.endApply(w.apply, w.apply.reply)
			return
		}
		s.emitAfter(configRetryInterval, w.write(s))
		return
	}
	s.commitGeneration(w.apply, w.name)
}

// commitGeneration updates the head row and writes the immutable row of the
// generation. That row tells later whether a commit whose answer was lost took
// effect.
func (s *State) commitGeneration(a *pendingApply, object string) {
	head := structs.ConfigHead{
		Generation: a.result.Generation, Object: object, Author: a.author,
		Instance: s.self.Instance, Attempt: a.attempt,
	}
	key := structs.GenerationKey(head.Generation)
	s.commit(
		[]structs.Condition{{Key: structs.ConfigHeadKey, Version: s.config.headVersion}, {Key: key}},
		[]structs.Write{{Key: structs.ConfigHeadKey, Row: head}, {Key: key, Row: head}},
		&generationCommit{apply: a, head: head})
}

type generationCommit struct {
	apply    *pendingApply
	head     structs.ConfigHead
	reported bool // the operator was told that the outcome is unknown
}

func (g *generationCommit) committed(s *State, revision structs.Version) {
	if revision > s.config.headVersion {
		s.config.head, s.config.headVersion, s.config.headRead = g.head, revision, true
	}
	s.activateConfiguration(g.apply.result, "own commit")
	s.broadcast(deltaOf(g.apply.before, g.apply.result))
	s.sweepGenerations()
	if g.reported {
		return
	}
	g.apply.reply.Accepted, g.apply.reply.Generation, g.apply.reply.Outcome = true, g.head.Generation, OutcomeDone
	s.endApply(g.apply, g.apply.reply)
}

func (g *generationCommit) conflicted(s *State, conflicts []Conflict, unknown bool) {
	own, ok := findConflict(conflicts, structs.GenerationKey(g.head.Generation))
	if row, _ := own.Row.(structs.ConfigHead); ok && unknown && row == g.head {
		g.committed(s, own.Version)
		return
	}
	s.deleteUnusedSheet(g.head.Object)
	if head, ok := findConflict(conflicts, structs.ConfigHeadKey); ok {
		s.handleConfigHead(head)
	}
	if g.reported {
		return
	}
	// Another operator's change was accepted first; merge with it.
	s.beginApply(g.apply)
}

func (g *generationCommit) rejected(s *State) {
	s.deleteUnusedSheet(g.head.Object)
	if g.reported {
		return
	}
	g.apply.reply.Outcome = OutcomeNotDone
	g.apply.reply.Reason = "the table service refuses the change for good; nothing was changed"
	s.endApply(g.apply, g.apply.reply)
}

func (g *generationCommit) shouldRetry(s *State, unknown bool) bool {
	if s.now-g.apply.began <= applyTimeout || g.reported {
		return true
	}
	if !unknown {
		g.apply.reply.Outcome = OutcomeNotDone
		s.deleteUnusedSheet(g.head.Object)
		g.apply.reply.Reason = "the table service does not answer; nothing was changed"
		s.endApply(g.apply, g.apply.reply)
		return false
	}
	g.reported = true
	g.apply.reply.Outcome = OutcomeUnknown
	g.apply.reply.Reason = "the table service did not say whether the change was accepted; check the status"
	s.endApply(g.apply, g.apply.reply)
	return true
}

// endApply answers the operator and begins the next request.
func (s *State) endApply(a *pendingApply, reply ApplyReply) {
	s.emit(OperatorReply{Request: a.request, Reply: reply})
	if !a.planOnly {
		action := "accepted"
		if !reply.Accepted {
			action = "refused"
		}
		s.recordDecision(DecisionRecord{
			Part: "config", Action: action, Subject: fmt.Sprintf("generation %d", reply.Generation),
			Where: a.author, Reason: reply.Reason,
		})
	}
	if len(s.config.applies) > 0 && s.config.applies[0] == a {
		s.config.applies = s.config.applies[1:]
	}
	if len(s.config.applies) > 0 {
		s.beginApply(s.config.applies[0])
	}
}
