package store

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

const (
	// pageKeys bounds the keys of one call. A listing in one answer would have
	// to arrive within one call's timeout however long it is, and a slow store
	// then never answers it.
	pageKeys = 1000
	// listTries is how often a listing is begun again because the store
	// compacted or replaced the revision that it reads.
	listTries = 3
)

// errReplaced: the store was restored from a backup between two pages.
var errReplaced = eris.New("platform store was replaced during a listing")

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Snapshot, error) {
	return c.list(ctx, prefix, false)
}

// ListKeys implements Store.
func (c *Client) ListKeys(ctx context.Context, prefix string) (Snapshot, error) {
	return c.list(ctx, prefix, true)
}

// list begins again when the revision of its first page is gone. A listing that
// went on at another revision would miss a key that moved between the pages, and
// its watch would never hear of it.
func (c *Client) list(ctx context.Context, prefix string, keysOnly bool) (Snapshot, error) {
	var err error
	for range listTries {
		l := listing{client: c, keysOnly: keysOnly}
		err = l.run(ctx, prefix)
		if err == nil {
			return l.snap, nil
		}
		if !eris.Is(err, ErrCompacted) && !eris.Is(err, errReplaced) {
			return Snapshot{}, err
		}
	}
	return Snapshot{}, eris.Wrap(ErrUnavailable, err.Error())
}

// listing is one try at a listing.
type listing struct {
	client   *Client
	keysOnly bool
	snap     Snapshot
}

func (l *listing) run(ctx context.Context, prefix string) error {
	key, end := prefixRange(prefix)
	for {
		res, err := l.page(ctx, key, end)
		if err != nil {
			return err
		}
		if err := l.add(res); err != nil {
			return err
		}
		if !res.More || len(res.Kvs) == 0 {
			return nil
		}
		last := res.Kvs[len(res.Kvs)-1].Key
		key = append(last[:len(last):len(last)], 0) // the first key after it
	}
}

func (l *listing) page(ctx context.Context, key, end []byte) (*v3json.RangeResponse, error) {
	if err := l.client.spend(1); err != nil {
		return nil, err
	}
	req := &v3json.RangeRequest{
		Key:      key,
		RangeEnd: end,
		Limit:    pageKeys,
		Revision: int64(l.snap.At),
		KeysOnly: l.keysOnly,
	}
	res := new(v3json.RangeResponse)
	return res, l.client.read(ctx, &l.client.counts.list, req, res)
}

// add takes a page in. A store that was restored from a backup between two pages
// can have the revision of the first one again, with other contents.
func (l *listing) add(res *v3json.RangeResponse) error {
	if l.snap.At == 0 {
		l.snap.At = Revision(res.Header.Revision)
		l.snap.Source = res.Header.ClusterID
	}
	if res.Header.ClusterID != l.snap.Source {
		return errReplaced
	}
	for _, kv := range res.Kvs {
		l.snap.Keys = append(l.snap.Keys, fromJSON(kv))
	}
	return nil
}

// prefixRange returns the range of all keys that begin with prefix. The API
// has no empty key; the first possible one is a zero byte.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), v3json.PrefixEnd(prefix)
}
