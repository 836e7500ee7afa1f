package wire

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotHandled means that the peer has not handled the message and never will.
	// Sending it again, even to another peer, cannot run it twice.
	ErrNotHandled = eris.New("message not handled by the peer")
	// ErrOutcomeUnknown means that the message may have been handled or may still be;
	// no valid reply arrived.
	ErrOutcomeUnknown = eris.New("outcome of the message unknown")

	// ErrClosed means that the connection, the endpoint or the pool is closed, or that
	// the connection is draining.
	ErrClosed = eris.New("wire connection closed")
	// ErrFrameTooLarge means that a frame exceeds the configured limit.
	ErrFrameTooLarge = eris.New("frame exceeds the size limit")
	// ErrMalformed means that a frame or payload could not be decoded.
	ErrMalformed = eris.New("malformed frame")
	// ErrUnknownKind means that the message's kind or Go type is not registered.
	ErrUnknownKind = eris.New("unknown message kind")
	// ErrDraining means that the peer accepts no new exchanges.
	ErrDraining = eris.New("peer is draining")
	// ErrNoHello means that an exchange arrived before Hello.
	ErrNoHello = eris.New("exchange before hello")
	// ErrHandler means that the peer's Handler returned an error.
	ErrHandler = eris.New("handler failed")
)

// CallError is the error of every failed Call. errors.Is matches both its Outcome
// (ErrNotHandled or ErrOutcomeUnknown) and its Cause.
type CallError struct {
	Outcome error
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%v: %v", e.Outcome, e.Cause)
}

// Unwrap returns the outcome and the cause.
func (e *CallError) Unwrap() []error {
	return []error{e.Outcome, e.Cause}
}

func callNotHandled(cause error) error {
	return &CallError{Outcome: ErrNotHandled, Cause: stripOutcome(cause)}
}

func callOutcomeUnknown(cause error) error {
	return &CallError{Outcome: ErrOutcomeUnknown, Cause: stripOutcome(cause)}
}

// stripOutcome reduces a cause that has an outcome of its own to its text, such as the
// failed call that cancelled a context. Otherwise an error could match both outcomes,
// and a caller that checks for ErrNotHandled could send a message twice.
func stripOutcome(cause error) error {
	if errors.Is(cause, ErrNotHandled) || errors.Is(cause, ErrOutcomeUnknown) {
		return errors.New(cause.Error())
	}
	return cause
}

// notHandledError is the error returned by NotHandled.
type notHandledError struct{ error }

// Unwrap returns the cause.
func (e notHandledError) Unwrap() error { return e.error }

// NotHandled wraps the error of a Handler that can prove that a message had no effect
// and never will; the caller gets ErrNotHandled. An ErrNotHandled that a handler
// returns from a call of its own is not enough, since it proves nothing about what the
// handler did before.
func NotHandled(cause error) error { return notHandledError{cause} }
