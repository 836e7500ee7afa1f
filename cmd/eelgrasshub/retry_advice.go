package main

import (
	"errors"
	"fmt"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// withRetryAdvice adds when to try again to the error of a call that an entry refused.
func withRetryAdvice(err error) error {
	var p *api.Problem
	if errors.As(err, &p) && p.RetryAfter > 0 {
		return fmt.Errorf("%w; try again in %s", err, p.RetryAfter)
	}
	return err
}
