package wire

import "errors"

// errorCode is the reason why there is no reply message. Codes are part of the
// protocol: never renumber one.
type errorCode int

const (
	codeHandlerFailed errorCode = iota
	codeUnknownKind
	codeMalformed
	codeTooLarge
	codeDraining
	codeNoHello
	// codeNotHandled means that the handler proved that it did not act (NotHandled).
	codeNotHandled
)

// remoteError is the reply frame of an exchange without a reply message.
type remoteError struct {
	Code errorCode `cbor:"1,keyasint,omitempty"`
	Text string    `cbor:"2,keyasint,omitempty"`
}

// RemoteError is the cause of a CallError reported by the peer.
type RemoteError struct {
	// Message is the error text sent by the peer.
	Message  string
	sentinel error
}

// Error implements error.
func (e *RemoteError) Error() string { return e.sentinel.Error() + ": " + e.Message }

// Unwrap returns the sentinel error of the peer's error code.
func (e *RemoteError) Unwrap() error { return e.sentinel }

// callError returns the CallError for the peer's code. Codes that are sent before the
// handler runs prove that the message was not handled. A failed handler, and any code
// unknown to this version, proves nothing.
func (r *remoteError) callError() error {
	switch r.Code {
	case codeUnknownKind:
		return callNotHandled(&RemoteError{Message: r.Text, sentinel: ErrUnknownKind})
	case codeMalformed:
		return callNotHandled(&RemoteError{Message: r.Text, sentinel: ErrMalformed})
	case codeTooLarge:
		return callNotHandled(&RemoteError{Message: r.Text, sentinel: ErrFrameTooLarge})
	case codeDraining:
		return callNotHandled(&RemoteError{Message: r.Text, sentinel: ErrDraining})
	case codeNoHello:
		return callNotHandled(&RemoteError{Message: r.Text, sentinel: ErrNoHello})
	case codeNotHandled:
		return callNotHandled(&RemoteError{Message: r.Text, sentinel: ErrHandler})
	default:
		return callOutcomeUnknown(&RemoteError{Message: r.Text, sentinel: ErrHandler})
	}
}

// rejectionReply returns the reply to an exchange that was not handled.
func rejectionReply(err error) *remoteError {
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

// handlerErrorReply returns the reply to an exchange whose handler failed.
func handlerErrorReply(err error) *remoteError {
	var notHandled notHandledError
	if errors.As(err, &notHandled) {
		return &remoteError{Code: codeNotHandled, Text: err.Error()}
	}
	return &remoteError{Code: codeHandlerFailed, Text: err.Error()}
}
