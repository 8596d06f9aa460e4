package keyvalue

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/kv"
)

// Kinds of calls, which Client.OnCall receives.
const (
	CallGet            = "get"
	CallPut            = "put"
	CallDelete         = "delete"
	CallList           = "list"
	CallWatch          = "watch"
	CallGrant          = "grant"
	CallRenew          = "renew"
	CallRevoke         = "revoke"
	CallInstances      = "instances"
	CallPutInstance    = "put-instance"
	CallDeleteInstance = "delete-instance"
)

// item is an entry of the key-value service in JSON.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

// Store returns the functions that call the platform's key-value service.
func (c *Client) Store() kv.Store {
	return c.Eras.Guard(kv.Store{
		Get: c.get, Put: c.put, Delete: c.delete, List: c.list,
		Watch: c.watch, Grant: c.grant, Renew: c.renew, Revoke: c.revoke,
	})
}

func (c *Client) get(ctx context.Context, key string) (kv.Entry, error) {
	call := Call{Kind: CallGet, Method: http.MethodGet, Path: "/kv/" + key}
	response, err := c.Do(ctx, call)
	if err != nil {
		return kv.Entry{}, err
	}
	switch response.Status {
	case http.StatusOK:
		var it item
		if err := Decode(call, response, &it); err != nil {
			return kv.Entry{}, err
		}
		return kv.NewEntry(key, it.Value, kv.NewRevision(response.Era, it.Revision), false), nil
	case http.StatusNotFound:
		return kv.Entry{}, errors.Trace(kv.NotFoundError{Key: key})
	default:
		return kv.Entry{}, UnexpectedStatus(call, response)
	}
}

func (c *Client) put(ctx context.Context, key string, value []byte, ifRevision kv.Revision, lease kv.Lease) (kv.Revision, error) {
	call := Call{Kind: CallPut, Method: http.MethodPut, Path: "/kv/" + key, Body: struct {
		Value      []byte `json:"value"`
		IfRevision uint64 `json:"if-revision"`
		Lease      string `json:"lease"`
	}{value, ifRevision.Number(), lease.ID()}}
	response, err := c.Do(ctx, call)
	if err != nil {
		return kv.Revision{}, err
	}
	switch {
	case response.Status == http.StatusOK || response.Status == http.StatusCreated:
		var it item
		err := Decode(call, response, &it)
		return kv.NewRevision(response.Era, it.Revision), err
	case response.Status == http.StatusConflict:
		return kv.Revision{}, conflictError(call, response, key, ifRevision)
	case (response.Status == http.StatusNotFound || response.Status == http.StatusGone) && !lease.IsZero():
		return kv.Revision{}, errors.Trace(kv.LeaseLostError{Lease: lease})
	default:
		return kv.Revision{}, UnexpectedStatus(call, response)
	}
}

func (c *Client) delete(ctx context.Context, key string, ifRevision kv.Revision) error {
	query := url.Values{"if-revision": {strconv.FormatUint(ifRevision.Number(), 10)}}
	call := Call{Kind: CallDelete, Method: http.MethodDelete, Path: "/kv/" + key, Query: query}
	response, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	switch response.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return conflictError(call, response, key, ifRevision)
	case http.StatusNotFound:
		return errors.Trace(kv.NotFoundError{Key: key})
	default:
		return UnexpectedStatus(call, response)
	}
}

func conflictError(call Call, response Response, key string, want kv.Revision) error {
	var it item
	if err := Decode(call, response, &it); err != nil {
		return err
	}
	return errors.Trace(kv.ConflictError{Key: key, Want: want, Current: kv.NewRevision(response.Era, it.Revision)})
}

func (c *Client) list(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	call := Call{Kind: CallList, Method: http.MethodGet, Path: "/kv", Query: url.Values{"prefix": {prefix}}}
	return c.readItems(ctx, call, kv.Revision{})
}

func (c *Client) watch(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Entry, kv.Revision, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after.Number(), 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.readItems(ctx, Call{Kind: CallWatch, Method: http.MethodGet, Path: "/watch", Query: query, Wait: wait}, after)
}

func (c *Client) readItems(ctx context.Context, call Call, after kv.Revision) ([]kv.Entry, kv.Revision, error) {
	response, err := c.Do(ctx, call)
	if err != nil {
		return nil, kv.Revision{}, err
	}
	if response.Status == http.StatusGone && call.Kind == CallWatch {
		return nil, kv.Revision{}, errors.Trace(kv.CompactedError{After: after})
	}
	if response.Status != http.StatusOK {
		return nil, kv.Revision{}, UnexpectedStatus(call, response)
	}
	var body struct {
		Items    []item `json:"items"`
		Revision uint64 `json:"revision"`
	}
	if err := Decode(call, response, &body); err != nil {
		return nil, kv.Revision{}, err
	}
	entries := make([]kv.Entry, 0, len(body.Items))
	for _, it := range body.Items {
		entries = append(entries, kv.NewEntry(it.Key, it.Value, kv.NewRevision(response.Era, it.Revision), it.Deleted))
	}
	return entries, kv.NewRevision(response.Era, body.Revision), nil
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	call := Call{Kind: CallGrant, Method: http.MethodPost, Path: "/leases", Body: struct {
		TTL int64 `json:"ttl-ms"`
	}{ttl.Milliseconds()}}
	response, err := c.Do(ctx, call)
	if err != nil {
		return kv.Lease{}, err
	}
	if response.Status != http.StatusOK && response.Status != http.StatusCreated {
		return kv.Lease{}, UnexpectedStatus(call, response)
	}
	var body struct {
		Lease string `json:"lease"`
	}
	err = Decode(call, response, &body)
	return kv.NewLease(response.Era, body.Lease), err
}

func (c *Client) renew(ctx context.Context, lease kv.Lease) error {
	path := "/leases/" + lease.ID() + "/renew"
	return c.doLeaseCall(ctx, lease, Call{Kind: CallRenew, Method: http.MethodPost, Path: path})
}

func (c *Client) revoke(ctx context.Context, lease kv.Lease) error {
	return c.doLeaseCall(ctx, lease, Call{Kind: CallRevoke, Method: http.MethodDelete, Path: "/leases/" + lease.ID()})
}

func (c *Client) doLeaseCall(ctx context.Context, lease kv.Lease, call Call) error {
	response, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	switch response.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound, http.StatusGone:
		return errors.Trace(kv.LeaseLostError{Lease: lease})
	default:
		return UnexpectedStatus(call, response)
	}
}
