package wire

import "context"

// Handler serves the exchanges opened by peers.
type Handler interface {
	// Handle returns the reply to msg, a pointer to a registered struct. It is called
	// concurrently, once for each exchange.
	//
	// ctx is cancelled when the caller gives up or the connection ends; Handle should
	// return soon after. An error from NotHandled tells the caller that msg had no
	// effect; after any other error the caller gets ErrOutcomeUnknown.
	Handle(ctx context.Context, from *Conn, msg any) (reply any, err error)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, from *Conn, msg any) (any, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, from *Conn, msg any) (any, error) {
	return f(ctx, from, msg)
}
