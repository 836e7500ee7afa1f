package store

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

const (
	// pageSize bounds the keys of one call. A listing in one answer would have
	// to arrive within one call's timeout however long it is, and a slow store
	// then never answers it.
	pageSize = 1000
	// maxListAttempts is how often a listing is begun again because the store
	// compacted or replaced the revision that it reads.
	maxListAttempts = 3
)

// errStoreReplaced: the store was restored from a backup between two pages.
var errStoreReplaced = eris.New("platform store was replaced during a listing")

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
	for range maxListAttempts {
		l := listing{client: c, keysOnly: keysOnly}
		err = l.fetchAll(ctx, prefix)
		if err == nil {
			return l.snapshot, nil
		}
		if !eris.Is(err, ErrCompacted) && !eris.Is(err, errStoreReplaced) {
			return Snapshot{}, err
		}
	}
	return Snapshot{}, eris.Wrap(ErrUnavailable, err.Error())
}

// listing is one try at a listing.
type listing struct {
	client   *Client
	keysOnly bool
	snapshot Snapshot
}

func (l *listing) fetchAll(ctx context.Context, prefix string) error {
	key, end := prefixRange(prefix)
	for {
		res, err := l.fetchPage(ctx, key, end)
		if err != nil {
			return err
		}
		if err := l.addPage(res); err != nil {
			return err
		}
		if !res.More || len(res.Kvs) == 0 {
			return nil
		}
		last := res.Kvs[len(res.Kvs)-1].Key
		key = append(last[:len(last):len(last)], 0) // the first key after it
	}
}

func (l *listing) fetchPage(ctx context.Context, key, end []byte) (*v3json.RangeResponse, error) {
	if err := l.client.allowCalls(1); err != nil {
		return nil, err
	}
	req := &v3json.RangeRequest{
		Key:      key,
		RangeEnd: end,
		Limit:    pageSize,
		Revision: int64(l.snapshot.At),
		KeysOnly: l.keysOnly,
	}
	res := new(v3json.RangeResponse)
	return res, l.client.readRange(ctx, &l.client.counts.list, req, res)
}

// addPage takes a page in. A store that was restored from a backup between two pages
// can have the revision of the first one again, with other contents.
func (l *listing) addPage(res *v3json.RangeResponse) error {
	if l.snapshot.At == 0 {
		l.snapshot.At = Revision(res.Header.Revision)
		l.snapshot.Source = res.Header.ClusterID
	}
	if res.Header.ClusterID != l.snapshot.Source {
		return errStoreReplaced
	}
	for _, kv := range res.Kvs {
		l.snapshot.Keys = append(l.snapshot.Keys, keyValueFromJSON(kv))
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
