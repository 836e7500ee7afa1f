package wire

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotHandled: the message was certainly not handled by the peer and never
	// will be. Trying again, also elsewhere, can't run it twice.
	ErrNotHandled = eris.New("message not handled by the peer")
	// ErrOutcomeUnknown: the message may have been handled, or may still be;
	// no valid reply arrived.
	ErrOutcomeUnknown = eris.New("outcome of the message unknown")

	// ErrClosed: the connection or endpoint was closed by this side, or was
	// being closed.
	ErrClosed = eris.New("wire connection closed")
	// ErrFrameTooLarge: a frame exceeds the configured limit.
	ErrFrameTooLarge = eris.New("frame exceeds the size limit")
	// ErrMalformed: a frame or payload could not be decoded.
	ErrMalformed = eris.New("malformed frame")
	// ErrUnknownKind: the message's kind or Go type is not registered.
	ErrUnknownKind = eris.New("unknown message kind")
	// ErrDraining: the peer takes no new exchanges.
	ErrDraining = eris.New("peer is draining")
	// ErrNoHello: an exchange arrived before Hello.
	ErrNoHello = eris.New("exchange before hello")
	// ErrHandler: the peer's Handler returned an error.
	ErrHandler = eris.New("handler failed")
)

// CallError is the error of every failed Call. errors.Is matches both its
// Outcome (ErrNotSent or ErrOutcomeUnknown) and its Cause.
type CallError struct {
	Outcome error
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%v: %v", e.Outcome, e.Cause)
}

// Unwrap lets errors.Is and errors.As see both parts.
func (e *CallError) Unwrap() []error {
	return []error{e.Outcome, e.Cause}
}

func callNotHandled(cause error) error {
	return &CallError{Outcome: ErrNotHandled, Cause: stripOutcome(cause)}
}

func callOutcomeUnknown(cause error) error {
	return &CallError{Outcome: ErrOutcomeUnknown, Cause: stripOutcome(cause)}
}

// stripOutcome keeps only the text of a cause that has an outcome of its own, such as
// the failed call because of which a context was cancelled. Otherwise an error
// could match both outcomes, and a caller that asks for ErrNotSent first would
// send a message twice.
func stripOutcome(cause error) error {
	if errors.Is(cause, ErrNotHandled) || errors.Is(cause, ErrOutcomeUnknown) {
		return errors.New(cause.Error())
	}
	return cause
}

// notHandledError is made by NotRun.
type notHandledError struct{ error }

// Unwrap returns the cause.
func (e notHandledError) Unwrap() error { return e.error }

// NotHandled is for a Handler that can prove that a message had no effect and never
// will: the caller sees ErrNotSent. It has to be said in this way. An
// ErrNotSent that a handler merely passes on from a call of its own says
// nothing of what the handler did before.
func NotHandled(cause error) error { return notHandledError{cause} }
