package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/control"
)

// WriteObject stores a configuration as JSON.
func (c *Client) WriteObject(f control.WriteObject) {
	c.submit("write-object", f.Timeout, func(ctx context.Context) (control.Outcome, error) {
		body, err := json.Marshal(f.Configuration)
		if err != nil {
			return control.OutcomeNotDone, err
		}
		answer, outcome, err := c.endpoint.Exchange(ctx, "write-object", http.MethodPut, c.object(f.Name), nil, body)
		if err != nil {
			return outcome, err
		}
		if answer.Status/100 != 2 {
			return c.endpoint.Refused("write-object", c.address, answer)
		}
		return control.OutcomeDone, nil
	}, func(o control.Outcome) control.EventBody {
		return control.ObjectWritten{Effect: f.ID, Outcome: o}
	})
}

// ReadObject reads a configuration.
func (c *Client) ReadObject(f control.ReadObject) {
	result := control.ObjectRead{Effect: f.ID}
	c.submit("read-object", f.Timeout, func(ctx context.Context) (control.Outcome, error) {
		return c.get(ctx, "read-object", wire.PathObjects+f.Name, nil, &result.Configuration)
	}, func(o control.Outcome) control.EventBody {
		result.Outcome = o
		return result
	})
}

func (c *Client) object(name string) url.URL {
	return url.URL{Scheme: "http", Host: c.address, Path: wire.PathObjects + name}
}
