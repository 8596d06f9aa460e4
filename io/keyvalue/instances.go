package keyvalue

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"radishhollow/core/route"
)

// KindDaemon is the kind of the rows for daemons of this system in the platform's instance list. InstanceList omits
// them; daemons find each other by their registrations (peer.Registrar).
const KindDaemon route.Kind = "entry"

// instance is a row of the platform's instance list in JSON.
type instance struct {
	Address     string     `json:"address"`
	Incarnation string     `json:"incarnation"`
	Place       string     `json:"place"`
	Kind        route.Kind `json:"kind"`
	Name        string     `json:"name"`
	State       string     `json:"state"`
}

func (in instance) listing() route.Listing {
	return route.Listing{
		Address: in.Address, Incarnation: in.Incarnation, Place: in.Place,
		Kind: in.Kind, Name: in.Name, Leaving: in.State == string(route.StateLeaving),
	}
}

// instancesResponse is the response body of GET /instances. History changes when the platform restarts, after which its
// sequence numbers start again; it is empty if the platform does not send changes.
type instancesResponse struct {
	Sequence  uint64       `json:"sequence"`
	History   string       `json:"history"`
	Instances instanceRows `json:"instances"`
	// ChangesOnly states that the body contains only the changes after the sequence number in the query.
	ChangesOnly bool     `json:"changes-only"`
	Removed     []string `json:"removed"`
}

// instanceRows holds the rows that name an endpoint or daemon. Rows with a field of another type or a malformed address
// are left out, so that they do not hide the others.
type instanceRows []instance

// UnmarshalJSON implements json.Unmarshaler.
func (r *instanceRows) UnmarshalJSON(data []byte) error {
	var rows []json.RawMessage
	if err := json.Unmarshal(data, &rows); err != nil {
		return errors.Trace(err)
	}
	*r = make(instanceRows, 0, len(rows))
	for _, raw := range rows {
		var row instance
		if json.Unmarshal(raw, &row) == nil && route.IsAddress(row.Address) {
			*r = append(*r, row)
		}
	}
	return nil
}

func (c *Client) readInstances(ctx context.Context, query url.Values) (instancesResponse, error) {
	var body instancesResponse
	call := Call{Kind: CallInstances, Method: http.MethodGet, Path: "/instances", Query: query}
	response, err := c.Do(ctx, call)
	if err != nil {
		return body, err
	}
	if response.Status != http.StatusOK {
		return body, UnexpectedStatus(call, response)
	}
	return body, Decode(call, response, &body)
}

// Instances returns the rows of the platform's instance list, divided into endpoints and daemons of this system (rows
// of kind KindDaemon). The platform updates the list with a delay. Only tests use it; daemons use InstanceList.
func (c *Client) Instances(ctx context.Context) (endpoints, daemons []route.Listing, err error) {
	body, err := c.readInstances(ctx, nil)
	if err != nil {
		return nil, nil, err
	}
	for _, in := range body.Instances {
		if row := in.listing(); row.Kind == KindDaemon {
			daemons = append(daemons, row)
		} else {
			endpoints = append(endpoints, row)
		}
	}
	return endpoints, daemons, nil
}

// PutInstance writes a row of the instance list. Only stand-ins and tests use it.
func (c *Client) PutInstance(ctx context.Context, row route.Listing) error {
	state := "live"
	if row.Leaving {
		state = string(route.StateLeaving)
	}
	return c.writeInstance(ctx, Call{Kind: CallPutInstance, Method: http.MethodPut, Path: "/instances", Body: instance{
		Address: row.Address, Incarnation: row.Incarnation, Place: row.Place,
		Kind: row.Kind, Name: row.Name, State: state,
	}})
}

// DeleteInstance deletes the row of an address from the instance list. Only stand-ins and tests use it.
func (c *Client) DeleteInstance(ctx context.Context, address string) error {
	query := url.Values{"address": {address}}
	return c.writeInstance(ctx, Call{Kind: CallDeleteInstance, Method: http.MethodDelete, Path: "/instances", Query: query})
}

func (c *Client) writeInstance(ctx context.Context, call Call) error {
	response, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	if response.Status >= http.StatusMultipleChoices {
		return UnexpectedStatus(call, response)
	}
	return nil
}
