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

// Kinds of calls that Count is told.
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

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

// Store returns the key-value service as the function fields that core uses.
func (c *Client) Store() kv.Store {
	return kv.Store{
		Get: c.get, Put: c.put, Delete: c.delete, List: c.list,
		Watch: c.watch, Grant: c.grant, Renew: c.renew, Revoke: c.revoke,
	}
}

func (c *Client) get(ctx context.Context, key string) (kv.Entry, error) {
	k := Call{Kind: CallGet, Method: http.MethodGet, Path: "/kv/" + key}
	a, err := c.Do(ctx, k)
	if err != nil {
		return kv.Entry{}, err
	}
	switch a.Status {
	case http.StatusOK:
		var it item
		if err := Decode(k, a, &it); err != nil {
			return kv.Entry{}, err
		}
		return kv.NewEntry(key, it.Value, it.Revision, false), nil
	case http.StatusNotFound:
		return kv.Entry{}, errors.Trace(kv.NotFoundError{Key: key})
	default:
		return kv.Entry{}, UnexpectedStatus(k, a)
	}
}

func (c *Client) put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	k := Call{Kind: CallPut, Method: http.MethodPut, Path: "/kv/" + key, Body: struct {
		Value      []byte `json:"value"`
		IfRevision uint64 `json:"if-revision"`
		Lease      string `json:"lease"`
	}{value, ifRevision, lease}}
	a, err := c.Do(ctx, k)
	if err != nil {
		return 0, err
	}
	switch {
	case a.Status == http.StatusOK || a.Status == http.StatusCreated:
		var it item
		err := Decode(k, a, &it)
		return it.Revision, err
	case a.Status == http.StatusConflict:
		return 0, conflict(k, a, key, ifRevision)
	case (a.Status == http.StatusNotFound || a.Status == http.StatusGone) && lease != "":
		return 0, errors.Trace(kv.LeaseLostError{Lease: lease})
	default:
		return 0, UnexpectedStatus(k, a)
	}
}

func (c *Client) delete(ctx context.Context, key string, ifRevision uint64) error {
	query := url.Values{"if-revision": {strconv.FormatUint(ifRevision, 10)}}
	k := Call{Kind: CallDelete, Method: http.MethodDelete, Path: "/kv/" + key, Query: query}
	a, err := c.Do(ctx, k)
	if err != nil {
		return err
	}
	switch a.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return conflict(k, a, key, ifRevision)
	case http.StatusNotFound:
		return errors.Trace(kv.NotFoundError{Key: key})
	default:
		return UnexpectedStatus(k, a)
	}
}

func conflict(k Call, a Answer, key string, want uint64) error {
	var it item
	if err := Decode(k, a, &it); err != nil {
		return err
	}
	return errors.Trace(kv.ConflictError{Key: key, Want: want, Current: it.Revision})
}

func (c *Client) list(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	k := Call{Kind: CallList, Method: http.MethodGet, Path: "/kv", Query: url.Values{"prefix": {prefix}}}
	return c.items(ctx, k)
}

func (c *Client) watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]kv.Entry, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.items(ctx, Call{Kind: CallWatch, Method: http.MethodGet, Path: "/watch", Query: query, Wait: wait})
}

func (c *Client) items(ctx context.Context, k Call) ([]kv.Entry, uint64, error) {
	a, err := c.Do(ctx, k)
	if err != nil {
		return nil, 0, err
	}
	if a.Status != http.StatusOK {
		return nil, 0, UnexpectedStatus(k, a)
	}
	var body struct {
		Items    []item `json:"items"`
		Revision uint64 `json:"revision"`
	}
	if err := Decode(k, a, &body); err != nil {
		return nil, 0, err
	}
	entries := make([]kv.Entry, 0, len(body.Items))
	for _, it := range body.Items {
		entries = append(entries, kv.NewEntry(it.Key, it.Value, it.Revision, it.Deleted))
	}
	return entries, body.Revision, nil
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (string, error) {
	k := Call{Kind: CallGrant, Method: http.MethodPost, Path: "/leases", Body: struct {
		TTL int64 `json:"ttl-ms"`
	}{ttl.Milliseconds()}}
	a, err := c.Do(ctx, k)
	if err != nil {
		return "", err
	}
	if a.Status != http.StatusOK && a.Status != http.StatusCreated {
		return "", UnexpectedStatus(k, a)
	}
	var body struct {
		Lease string `json:"lease"`
	}
	err = Decode(k, a, &body)
	return body.Lease, err
}

func (c *Client) renew(ctx context.Context, lease string) error {
	path := "/leases/" + lease + "/renew"
	return c.onLease(ctx, lease, Call{Kind: CallRenew, Method: http.MethodPost, Path: path})
}

func (c *Client) revoke(ctx context.Context, lease string) error {
	return c.onLease(ctx, lease, Call{Kind: CallRevoke, Method: http.MethodDelete, Path: "/leases/" + lease})
}

func (c *Client) onLease(ctx context.Context, lease string, k Call) error {
	a, err := c.Do(ctx, k)
	if err != nil {
		return err
	}
	switch a.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound, http.StatusGone:
		return errors.Trace(kv.LeaseLostError{Lease: lease})
	default:
		return UnexpectedStatus(k, a)
	}
}
