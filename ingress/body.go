package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of ReadBody, beside ErrOverloaded and those of the connection.
var (
	ErrBodyTooLarge = eris.New("body is too large")
	ErrBodyTooSlow  = eris.New("body did not arrive in time")
)

// firstBodyRead is the initial size of the buffer for a body, in bytes.
const firstBodyRead = 4 << 10

// ReadBody reads a request's body of at most limit bytes until the deadline of the request's context.
// What the body takes is reserved as it arrives, so that a client cannot reserve more than it sends
// several times over. After an error, the connection is closed with the reply.
func ReadBody(w http.ResponseWriter, req *http.Request, limit int) ([]byte, error) {
	if req.ContentLength > int64(limit) {
		return nil, refuse(w, req, ErrBodyTooLarge)
	}
	c := connOf(req)
	if deadline, ok := req.Context().Deadline(); ok && c != nil && req.Body != http.NoBody {
		_ = c.SetReadDeadline(deadline) // it fails if the connection was closed, as does the next read
	}
	body, err := readAll(req, limit)
	if err != nil {
		return nil, refuse(w, req, err)
	}
	if c != nil {
		c.turn.end()
		c.account.SetState(Serving, time.Now())
		if c.account.Evicted() {
			return nil, refuse(w, req, ErrOverloaded) // the client would get no reply
		}
	}
	return body, nil
}

func readAll(req *http.Request, limit int) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := grow(req, body, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := req.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF:
			return body, nil
		case errors.Is(err, ErrOverloaded):
			return nil, ErrOverloaded
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrBodyTooSlow
		case err != nil:
			return nil, err
		}
	}
}

// grow returns the body in a buffer of up to twice its size, but for one byte no larger than the body
// may become. The byte makes room to read the end.
func grow(req *http.Request, body []byte, limit int) ([]byte, error) {
	size := limit + 1
	if req.ContentLength >= 0 {
		size = int(req.ContentLength) + 1
	}
	size = min(size, max(firstBodyRead, 2*cap(body)))
	if err := Reserve(req, int64(size)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	if c := connOf(req); c != nil {
		c.account.Release(int64(cap(body)))
	}
	return grown, nil
}

// Reserve reserves n bytes for a request until it is answered. It returns ErrOverloaded if there is no
// room for them; the request is to be refused then.
func Reserve(req *http.Request, n int64) error {
	c := connOf(req)
	if c == nil {
		return nil
	}
	c.turn.end() // it may have to wait for others
	return c.account.Reserve(n, time.Now())
}

// refuse makes the server close the connection with the reply, without reading the rest of the body, and
// returns err.
func refuse(w http.ResponseWriter, req *http.Request, err error) error {
	w.Header().Set("Connection", "close")
	if c := connOf(req); c != nil {
		c.unread.Store(true)
		_ = c.SetReadDeadline(time.Now()) // it fails if the connection was closed
	}
	return err
}
