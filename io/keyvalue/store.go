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
	return kv.Store{
		Get: c.get, Put: c.put, Delete: c.delete, List: c.list,
		Watch: c.watch, Grant: c.grant, Renew: c.renew, Revoke: c.revoke,
	}
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
		return kv.NewEntry(key, it.Value, it.Revision, false), nil
	case http.StatusNotFound:
		return kv.Entry{}, errors.Trace(kv.NotFoundError{Key: key})
	default:
		return kv.Entry{}, UnexpectedStatus(call, response)
	}
}

func (c *Client) put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	call := Call{Kind: CallPut, Method: http.MethodPut, Path: "/kv/" + key, Body: struct {
		Value      []byte `json:"value"`
		IfRevision uint64 `json:"if-revision"`
		Lease      string `json:"lease"`
	}{value, ifRevision, lease}}
	response, err := c.Do(ctx, call)
	if err != nil {
		return 0, err
	}
	switch {
	case response.Status == http.StatusOK || response.Status == http.StatusCreated:
		var it item
		err := Decode(call, response, &it)
		return it.Revision, err
	case response.Status == http.StatusConflict:
		return 0, conflictError(call, response, key, ifRevision)
	case (response.Status == http.StatusNotFound || response.Status == http.StatusGone) && lease != "":
		return 0, errors.Trace(kv.LeaseLostError{Lease: lease})
	default:
		return 0, UnexpectedStatus(call, response)
	}
}

func (c *Client) delete(ctx context.Context, key string, ifRevision uint64) error {
	query := url.Values{"if-revision": {strconv.FormatUint(ifRevision, 10)}}
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

func conflictError(call Call, response Response, key string, want uint64) error {
	var it item
	if err := Decode(call, response, &it); err != nil {
		return err
	}
	return errors.Trace(kv.ConflictError{Key: key, Want: want, Current: it.Revision})
}

func (c *Client) list(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	call := Call{Kind: CallList, Method: http.MethodGet, Path: "/kv", Query: url.Values{"prefix": {prefix}}}
	return c.readItems(ctx, call)
}

// watch implements kv.Store.Watch. It never returns kv.CompactedError, because each status other than 200 becomes a
// kv.UnavailableError.
func (c *Client) watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]kv.Entry, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.readItems(ctx, Call{Kind: CallWatch, Method: http.MethodGet, Path: "/watch", Query: query, Wait: wait})
}

func (c *Client) readItems(ctx context.Context, call Call) ([]kv.Entry, uint64, error) {
	response, err := c.Do(ctx, call)
	if err != nil {
		return nil, 0, err
	}
	if response.Status != http.StatusOK {
		return nil, 0, UnexpectedStatus(call, response)
	}
	var body struct {
		Items    []item `json:"items"`
		Revision uint64 `json:"revision"`
	}
	if err := Decode(call, response, &body); err != nil {
		return nil, 0, err
	}
	entries := make([]kv.Entry, 0, len(body.Items))
	for _, it := range body.Items {
		entries = append(entries, kv.NewEntry(it.Key, it.Value, it.Revision, it.Deleted))
	}
	return entries, body.Revision, nil
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (string, error) {
	call := Call{Kind: CallGrant, Method: http.MethodPost, Path: "/leases", Body: struct {
		TTL int64 `json:"ttl-ms"`
	}{ttl.Milliseconds()}}
	response, err := c.Do(ctx, call)
	if err != nil {
		return "", err
	}
	if response.Status != http.StatusOK && response.Status != http.StatusCreated {
		return "", UnexpectedStatus(call, response)
	}
	var body struct {
		Lease string `json:"lease"`
	}
	err = Decode(call, response, &body)
	return body.Lease, err
}

func (c *Client) renew(ctx context.Context, lease string) error {
	path := "/leases/" + lease + "/renew"
	return c.doLeaseCall(ctx, lease, Call{Kind: CallRenew, Method: http.MethodPost, Path: path})
}

func (c *Client) revoke(ctx context.Context, lease string) error {
	return c.doLeaseCall(ctx, lease, Call{Kind: CallRevoke, Method: http.MethodDelete, Path: "/leases/" + lease})
}

func (c *Client) doLeaseCall(ctx context.Context, lease string, call Call) error {
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
