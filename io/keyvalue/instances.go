package keyvalue

import (
	"context"
	"net/http"
	"net/url"

	"radishhollow/core/route"
)

// KindEntry marks an instance of this system in the platform's list.
const KindEntry route.Kind = "entry"

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

// instanceList is the body of GET /instances.
type instanceList struct {
	Sequence  uint64     `json:"sequence"`
	History   string     `json:"history"`
	Instances []instance `json:"instances"`
	// ChangesOnly tells that the body holds what has changed after the sequence that the query names.
	ChangesOnly bool     `json:"changes-only"`
	Removed     []string `json:"removed"`
}

func (c *Client) readInstances(ctx context.Context, query url.Values) (instanceList, error) {
	var body instanceList
	k := Call{Kind: CallInstances, Method: http.MethodGet, Path: "/instances", Query: query}
	a, err := c.Do(ctx, k)
	if err != nil {
		return body, err
	}
	if a.Status != http.StatusOK {
		return body, UnexpectedStatus(k, a)
	}
	return body, Decode(k, a, &body)
}

// Instances returns the endpoints and the entries of the platform's list, which lags.
func (c *Client) Instances(ctx context.Context) (endpoints, entries []route.Listing, err error) {
	body, err := c.readInstances(ctx, nil)
	if err != nil {
		return nil, nil, err
	}
	for _, in := range body.Instances {
		if row := in.listing(); row.Kind == KindEntry {
			entries = append(entries, row)
		} else {
			endpoints = append(endpoints, row)
		}
	}
	return endpoints, entries, nil
}

// PutInstance writes one row of the list. Only stand-ins and tests use it.
func (c *Client) PutInstance(ctx context.Context, row route.Listing) error {
	state := "live"
	if row.Leaving {
		state = string(route.StateLeaving)
	}
	return c.change(ctx, Call{Kind: CallPutInstance, Method: http.MethodPut, Path: "/instances", Body: instance{
		Address: row.Address, Incarnation: row.Incarnation, Place: row.Place,
		Kind: row.Kind, Name: row.Name, State: state,
	}})
}

// DeleteInstance removes the row of an address. Only stand-ins and tests use it.
func (c *Client) DeleteInstance(ctx context.Context, address string) error {
	query := url.Values{"address": {address}}
	return c.change(ctx, Call{Kind: CallDeleteInstance, Method: http.MethodDelete, Path: "/instances", Query: query})
}

func (c *Client) change(ctx context.Context, k Call) error {
	a, err := c.Do(ctx, k)
	if err != nil {
		return err
	}
	if a.Status >= http.StatusMultipleChoices {
		return UnexpectedStatus(k, a)
	}
	return nil
}
