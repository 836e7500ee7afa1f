package main

import (
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"unicode"
)

// counterHandler serves the atomic integers of the struct that counts points to, as lines
// eelgrasshub_NAME VALUE.
func counterHandler(counts any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		v := reflect.ValueOf(counts).Elem()
		for i := range v.NumField() {
			n, ok := v.Field(i).Addr().Interface().(*atomic.Int64)
			if !ok {
				continue
			}
			_, _ = fmt.Fprintf(w, "eelgrasshub_%s %d\n", toSnakeCase(v.Type().Field(i).Name), n.Load())
		}
	})
}

// toSnakeCase converts a Go field name to a metric name.
func toSnakeCase(name string) string {
	var out strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			out.WriteByte('_')
		}
		out.WriteRune(unicode.ToLower(r))
	}
	return out.String()
}

// MetricsHandler implements metricsProvider.
func (r *gatewayRole) MetricsHandler() http.Handler {
	counters, callers := counterHandler(r.gateway.Counters()), counterHandler(r.callers.Counters())
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		counters.ServeHTTP(w, req)
		callers.ServeHTTP(w, req)
		r.gateway.WriteMetrics(w)
	})
}
