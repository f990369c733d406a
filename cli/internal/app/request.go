package app

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/cli/internal/command"
	"github.com/tamarackstep/tamarackstep/cli/internal/operator"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// newRequest returns the request that a command sends to an entry host. rows
// holds the sheet of a plan or apply.
func newRequest(inv command.Invocation, rows []structs.SheetRow) operator.Request {
	switch c := inv.Command.(type) {
	case command.Plan:
		return planRequest(inv.Author, rows, 0)
	case command.Apply:
		return operator.Request{Method: http.MethodPost, Path: wire.PathApply, Body: encodeBody(wire.ApplyRequest{
			Author: inv.Author, Rows: rows, Base: c.Base, ConfirmRemovals: c.ConfirmRemovals,
		})}
	case command.Stop:
		return operator.Request{Method: http.MethodPost, Path: wire.PathStopRows, Body: encodeBody(wire.StopRequest{
			Author: inv.Author, Rows: c.Rows, Resume: c.Resume,
		})}
	case command.Drain:
		return operator.Request{Method: http.MethodPost, Path: wire.PathDrain}
	case command.Explain:
		return operator.Request{
			Method: http.MethodGet, Path: wire.PathExplain, Query: url.Values{"subject": {c.Subject}}, Retryable: true,
		}
	case command.Status:
		return statusRequest()
	}
	panic(fmt.Sprintf("no request for %T", inv.Command))
}

func statusRequest() operator.Request {
	return operator.Request{Method: http.MethodGet, Path: wire.PathStatus, Retryable: true}
}

// planRequest asks for a plan, which changes nothing and so may be retried.
func planRequest(author string, rows []structs.SheetRow, base uint64) operator.Request {
	return operator.Request{Method: http.MethodPost, Path: wire.PathPlan, Retryable: true, Body: encodeBody(wire.ApplyRequest{
		Author: author, Rows: rows, Base: base,
	})}
}

func encodeBody(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Cannot happen: requests hold only strings, numbers, booleans and lists of
		// them.
		panic(fmt.Sprintf("cannot encode the request body %T: %v", v, err))
	}
	return data
}
