package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	maxSubjectLength = 512
	maxListedFaults  = 50 // faults of rows in one error answer
)

// writeError answers with a status and an ErrorResponse.
func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, wire.ErrorResponse{Error: reason})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// An error means that the client has disconnected; it cannot be reported to it.
	_ = json.NewEncoder(w).Encode(body)
}

// readBody decodes the JSON body of a request into the value. If that fails, it
// answers with an error and returns false.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, out any) bool {
	body := http.MaxBytesReader(w, r.Body, s.BodyBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(out)
	if err == nil {
		if _, more := decoder.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("text follows the JSON body")
		}
	}
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
		return false
	}
	writeError(w, http.StatusBadRequest, "the body is not valid: "+err.Error())
	return false
}

// checkApply sorts the rows by name and checks the request. Its error lists the
// faults of all rows, up to maxListedFaults.
func checkApply(r *wire.ApplyRequest) error {
	if r.Author == "" {
		return errors.New("author must not be empty")
	}
	if r.ConfirmRemovals < 0 {
		return errors.New("confirm_removals must not be negative")
	}
	r.Rows = sheet.SortedByName(r.Rows)
	faults := sheet.Check(r.Rows)
	if len(faults) == 0 {
		return nil
	}
	texts := make([]string, 0, maxListedFaults+1)
	for i, f := range faults {
		if i == maxListedFaults {
			texts = append(texts, fmt.Sprintf("and %d more", len(faults)-i))
			break
		}
		texts = append(texts, f.String())
	}
	return errors.New("the rows have faults: " + strings.Join(texts, "\n"))
}

func applyEvent(id control.OperatorRequestID, r wire.ApplyRequest, plan bool) control.EventBody {
	return control.ApplyRequested{
		Request: id, Author: r.Author, Rows: r.Rows, Base: structs.Generation(r.Base),
		PlanOnly: plan, ConfirmRemovals: r.ConfirmRemovals,
	}
}
