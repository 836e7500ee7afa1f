package main

import (
	"errors"
	"fmt"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// withRetryAdvice adds the time to wait before a retry to the error of an entry that gave
// one.
func withRetryAdvice(err error) error {
	var p *api.Problem
	if errors.As(err, &p) && p.RetryAfter > 0 {
		return fmt.Errorf("%w; try again in %s", err, p.RetryAfter)
	}
	return err
}
