package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/internal/transport"
)

// WriteObject writes a configuration to the object store as JSON.
func (c *Client) WriteObject(e control.WriteObject) {
	result := control.ObjectWritten{Effect: e.ID}
	c.submit("write-object", e.Timeout, func(ctx context.Context) (control.Outcome, error) {
		body, err := json.Marshal(e.Configuration)
		if err != nil {
			return control.OutcomeNotDone, err
		}
		response, outcome, err := c.endpoint.Do(ctx, "write-object", http.MethodPut, c.objectURL(e.Name), nil, body)
		if err != nil {
			return outcome, err
		}
		if response.Status/100 != 2 {
			result.Rejected = transport.RejectsContent(response.Status)
			return c.endpoint.RefusalOutcome("write-object", c.address, response)
		}
		return control.OutcomeDone, nil
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

// ReadObject reads a configuration from the object store.
func (c *Client) ReadObject(e control.ReadObject) {
	result := control.ObjectRead{Effect: e.ID}
	c.submit("read-object", e.Timeout, func(ctx context.Context) (control.Outcome, error) {
		return c.get(ctx, "read-object", wire.PathObjects+e.Name, nil, &result.Configuration)
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

// DeleteObject deletes an object. One that is not there counts as deleted.
func (c *Client) DeleteObject(e control.DeleteObject) {
	c.submit("delete-object", e.Timeout, func(ctx context.Context) (control.Outcome, error) {
		response, outcome, err := c.endpoint.Do(ctx, "delete-object", http.MethodDelete, c.objectURL(e.Name), nil, nil)
		if err != nil {
			return outcome, err
		}
		if response.Status/100 != 2 && response.Status != http.StatusNotFound {
			return c.endpoint.RefusalOutcome("delete-object", c.address, response)
		}
		return control.OutcomeDone, nil
	}, func(o control.Outcome) control.EventBody {
		return control.ObjectDeleted{Effect: e.ID, Outcome: o}
	})
}

func (c *Client) objectURL(name string) url.URL {
	return url.URL{Scheme: "http", Host: c.address, Path: wire.PathObjects + name}
}
