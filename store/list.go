package store

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

const (
	// pageSize is the maximum number of keys in one call. It keeps the duration of a
	// call independent of the length of the listing, so that a slow store answers
	// within the call timeout.
	pageSize = 1000
	// maxListAttempts is the number of times a listing is started, because its revision
	// may be compacted or the store restored in between.
	maxListAttempts = 3
)

// errStoreReplaced means that the store was restored from a backup between two pages.
var errStoreReplaced = eris.New("platform store was replaced during a listing")

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Snapshot, error) {
	return c.list(ctx, prefix, false)
}

// ListKeys implements Store.
func (c *Client) ListKeys(ctx context.Context, prefix string) (Snapshot, error) {
	return c.list(ctx, prefix, true)
}

// list starts again if the revision of the first page is gone. Continuing at another
// revision could miss a key that was written between two pages, and a watch from the
// listing's revision would not deliver it either.
func (c *Client) list(ctx context.Context, prefix string, keysOnly bool) (Snapshot, error) {
	var err error
	for range maxListAttempts {
		attempt := listing{client: c, keysOnly: keysOnly}
		err = attempt.fetchAll(ctx, prefix)
		if err == nil {
			return attempt.snapshot, nil
		}
		if !eris.Is(err, ErrCompacted) && !eris.Is(err, errStoreReplaced) {
			return Snapshot{}, err
		}
	}
	return Snapshot{}, eris.Wrap(ErrUnavailable, err.Error())
}

// listing is one attempt of a listing.
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
		key = append(last[:len(last):len(last)], 0) // the smallest key greater than last
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

// addPage appends a page. It compares the cluster ID, because a store that is restored
// from a backup between two pages can reach the revision of the first page with other
// contents.
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

// prefixRange returns the range of all keys that begin with prefix. The API has no
// empty key; the smallest key is a zero byte.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), v3json.PrefixEnd(prefix)
}
