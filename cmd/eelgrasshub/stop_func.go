package main

import "context"

// stopFunc adapts a function to a stopper.
type stopFunc func(ctx context.Context) error

// Stop implements stopper.
func (f stopFunc) Stop(ctx context.Context) error { return f(ctx) }
