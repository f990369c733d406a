package app

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/cli/internal/command"
	"github.com/tamarackstep/tamarackstep/cli/internal/operator"
	"github.com/tamarackstep/tamarackstep/cli/internal/render"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// interpret turns a response into a report. It returns a render.UnknownOutcome
// when the response does not say whether a change took effect.
func interpret(inv command.Invocation, rows []structs.SheetRow, response operator.Response, origin render.Origin) render.Report {
	switch c := inv.Command.(type) {
	case command.Plan, command.Apply, command.Stop:
		reply, ok := decodeApply(response)
		if !ok {
			return reportWithoutReply(inv.Command, response, origin)
		}
		if reply.Outcome == control.OutcomeUnknown {
			return render.UnknownOutcome{Origin: origin, Reason: reply.Reason, Reply: reply}
		}
		change := render.Change{Origin: origin, Author: inv.Author, Reply: reply, Rows: rows, TimeZone: inv.TimeZone}
		if stop, ok := c.(command.Stop); ok {
			change.RowNames = stop.Rows
		}
		return change
	case command.Status:
		if reply, ok := decode[control.StatusReply](response); ok {
			return render.Status{Origin: origin, Reply: reply, Tasks: c.Tasks}
		}
	case command.Explain:
		if reply, ok := decode[control.ExplainReply](response); ok {
			return render.Explain{Origin: origin, Reply: reply}
		}
	case command.Drain:
		if reply, ok := decode[control.DrainReply](response); ok {
			return render.Drain{Origin: origin, Reply: reply}
		}
	}
	return reportWithoutReply(inv.Command, response, origin)
}

// reportWithoutReply returns the report of a response that holds no reply. After
// a server error the outcome of a change is unknown, since the change may have
// been made before the error occurred. The exception is a 503 from the operator
// listener itself, which means that the request was not processed.
func reportWithoutReply(c command.Command, response operator.Response, origin render.Origin) render.Report {
	message := fmt.Sprintf("%s answered %d: %s", response.Host, response.Status, errorText(response))
	_, fromListener := listenerError(response)
	notProcessed := fromListener && response.Status == http.StatusServiceUnavailable
	if notProcessed || response.Status >= http.StatusBadRequest && response.Status < http.StatusInternalServerError {
		return render.Failure{Origin: origin, Status: render.ExitRefused, Message: message + "; nothing was changed"}
	}
	switch c.(type) {
	case command.Apply, command.Stop, command.Drain:
		return render.UnknownOutcome{Origin: origin, Reason: message}
	}
	return render.Failure{Origin: origin, Status: render.ExitHostError, Message: message}
}

const maxShownBodyBytes = 200 // length to which a message quotes a body that is not JSON

// errorText returns the error message of a response that holds no reply.
func errorText(response operator.Response) string {
	if text, fromListener := listenerError(response); fromListener {
		return text
	}
	if response.Status == http.StatusUnauthorized || response.Status == http.StatusForbidden {
		return "the operator token is missing or wrong"
	}
	text := strings.TrimSpace(string(response.Body[:min(len(response.Body), maxShownBodyBytes)]))
	if text == "" {
		return http.StatusText(response.Status)
	}
	return strings.ToValidUTF8(text, "?")
}

// listenerError returns the error message of the operator listener itself.
// fromListener is false when the body is not a wire.ErrorResponse.
func listenerError(response operator.Response) (text string, fromListener bool) {
	var e wire.ErrorResponse
	err := json.Unmarshal(response.Body, &e)
	return e.Error, err == nil && e.Error != ""
}

// decodeApply decodes an ApplyReply. Refusals hold one as well, with a status
// other than 200; the generation, which every reply has, tells it from an error.
func decodeApply(response operator.Response) (reply control.ApplyReply, ok bool) {
	var probe struct {
		Generation *structs.Generation `json:"generation"`
	}
	if json.Unmarshal(response.Body, &probe) != nil || probe.Generation == nil {
		return reply, false
	}
	return reply, json.Unmarshal(response.Body, &reply) == nil
}

// decode decodes the reply of a response with status 200.
func decode[T any](response operator.Response) (reply T, ok bool) {
	return reply, response.Status == http.StatusOK && json.Unmarshal(response.Body, &reply) == nil
}

// statusFinding returns what the response to a status request tells after a
// change of unknown outcome.
func statusFinding(response operator.Response, err error) render.Finding {
	if err != nil {
		return render.Finding{Error: err.Error()}
	}
	reply, ok := decode[control.StatusReply](response)
	if !ok {
		return render.Finding{AnsweredBy: response.Host, Error: fmt.Sprintf("%s answered %d: %s", response.Host, response.Status, errorText(response))}
	}
	return render.Finding{AnsweredBy: response.Host, Generation: reply.Generation, StoreReachable: reply.StoreReachable}
}

// addComparison adds to a finding how many changes a plan of the same sheet
// lists. A plan that was refused says nothing about the change.
func addComparison(finding render.Finding, response operator.Response, err error) render.Finding {
	if err != nil {
		return finding
	}
	reply, ok := decodeApply(response)
	if ok && reply.Reason == "" {
		finding.AnsweredBy, finding.Generation = response.Host, reply.Generation
		finding.Compared, finding.Differences = true, len(reply.Changes)
	}
	return finding
}
