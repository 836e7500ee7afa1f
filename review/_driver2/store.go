package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

// valueBytes is the longest value that the store takes, as in the platform's settings.
const valueBytes = 1 << 20

// limitedStore serves the project's stand-in of the store, and refuses values beyond valueBytes.
type limitedStore struct {
	*standin.Store
	rec    *record
	server *http.Server
	addr   string
}

func newLimitedStore(rec *record, addr string) (*limitedStore, error) {
	s := &limitedStore{Store: standin.NewStore(), rec: rec, addr: addr}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		s.Store.Close()
		return nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.Addr()})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	s.server = &http.Server{Handler: s.limit(proxy), ErrorLog: quietLog}
	go func() { _ = s.server.Serve(listener) }() // it returns when the server is closed
	return s, nil
}

// limit returns a handler that refuses transactions with a value beyond valueBytes.
func (s *limitedStore) limit(next http.Handler) http.Handler {
	var refused atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/kv-txn" {
			next.ServeHTTP(w, req)
			return
		}
		raw, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if key, size := longestValue(raw); size > valueBytes {
			if n := refused.Add(1); n <= 5 || n%50 == 0 {
				s.rec.add("store: refused write %d of that kind: %s has %d bytes, %d are taken", n, key, size, valueBytes)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(raw))
		next.ServeHTTP(w, req)
	})
}

func longestValue(raw []byte) (key string, size int) {
	var txn struct {
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	_ = json.Unmarshal(raw, &txn) // the store answers calls that can't be read
	for _, p := range txn.Puts {
		if len(p.Value) > size {
			key, size = p.Key, len(p.Value)
		}
	}
	return key, size
}

func (s *limitedStore) close() {
	_ = s.server.Close()
	s.Store.Close()
}
