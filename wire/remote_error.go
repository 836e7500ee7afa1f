package wire

import "errors"

// errorCode says in a remoteError why there is no reply message. Codes are
// part of the protocol: never renumber.
type errorCode int

const (
	codeFailed errorCode = iota
	codeUnknownKind
	codeMalformed
	codeTooLarge
	codeDraining
	codeNoHello
	// codeNotRun: the handler proved that it did not act (NotRun).
	codeNotRun
)

// remoteError is the reply frame of an exchange that has no reply message.
type remoteError struct {
	Code errorCode `cbor:"1,keyasint,omitempty"`
	Text string    `cbor:"2,keyasint,omitempty"`
}

// RemoteError is the cause of a CallError that the peer reported.
type RemoteError struct {
	// Message is the peer's own description.
	Message string
	kind    error
}

// Error implements error.
func (e *RemoteError) Error() string { return e.kind.Error() + ": " + e.Message }

// Unwrap returns the sentinel of the peer's error code.
func (e *RemoteError) Unwrap() error { return e.kind }

// asCallError turns the peer's code into an outcome. Codes sent before the
// handler runs prove that the message was not handled. A failed handler, and
// any code this version does not know, proves nothing.
func (r *remoteError) asCallError() error {
	switch r.Code {
	case codeUnknownKind:
		return notSent(&RemoteError{Message: r.Text, kind: ErrUnknownKind})
	case codeMalformed:
		return notSent(&RemoteError{Message: r.Text, kind: ErrMalformed})
	case codeTooLarge:
		return notSent(&RemoteError{Message: r.Text, kind: ErrFrameTooLarge})
	case codeDraining:
		return notSent(&RemoteError{Message: r.Text, kind: ErrDraining})
	case codeNoHello:
		return notSent(&RemoteError{Message: r.Text, kind: ErrNoHello})
	case codeNotRun:
		return notSent(&RemoteError{Message: r.Text, kind: ErrHandler})
	default:
		return outcomeUnknown(&RemoteError{Message: r.Text, kind: ErrHandler})
	}
}

// refusal builds the reply for an exchange that was not handled.
func refusal(err error) *remoteError {
	code := codeMalformed
	switch {
	case errors.Is(err, ErrUnknownKind):
		code = codeUnknownKind
	case errors.Is(err, ErrFrameTooLarge):
		code = codeTooLarge
	case errors.Is(err, ErrDraining):
		code = codeDraining
	case errors.Is(err, ErrNoHello):
		code = codeNoHello
	}
	return &remoteError{Code: code, Text: err.Error()}
}

// handlerFailure builds the reply for an exchange whose handler failed.
func handlerFailure(err error) *remoteError {
	var proof notRunError
	if errors.As(err, &proof) {
		return &remoteError{Code: codeNotRun, Text: err.Error()}
	}
	return &remoteError{Code: codeFailed, Text: err.Error()}
}
