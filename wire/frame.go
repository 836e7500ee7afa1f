package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// DefaultMaxPayload is the default limit of a frame's payload in bytes.
const DefaultMaxPayload = 16 << 20

// headerSize is the size of a frame's header: the payload's length (4 bytes) and the
// kind (2 bytes), both big-endian. The payload follows.
const headerSize = 6

// initialReadBytes is the maximum size allocated for a payload before any of it has
// arrived.
const initialReadBytes = 4096

// encodeFrame returns the frame of msg, a registered struct or a pointer to one.
func encodeFrame(msg any, limit int) ([]byte, error) {
	kind, err := kindOf(msg)
	if err != nil {
		return nil, err
	}
	buf := bytes.NewBuffer(make([]byte, headerSize, 512))
	if err := encoder.NewEncoder(buf).Encode(msg); err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	frame := buf.Bytes()
	size := len(frame) - headerSize
	if size > limit {
		return nil, eris.Wrapf(ErrFrameTooLarge, "%d of %d bytes", size, limit)
	}
	binary.BigEndian.PutUint32(frame[0:4], uint32(size))
	binary.BigEndian.PutUint16(frame[4:6], uint16(kind))
	return frame, nil
}

// rawFrame is a frame with its payload still encoded.
type rawFrame struct {
	kind    Kind
	payload []byte
}

// readFrame reads one frame and the end of r. It checks the announced size before it
// allocates, and memory grows only with the bytes received. A frame without the end of
// r, or followed by more bytes, is an error, so that the caller has seen all that the
// peer has written.
func readFrame(r io.Reader, limit int) (rawFrame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return rawFrame{}, err
	}
	size := int64(binary.BigEndian.Uint32(header[0:4]))
	if size > int64(limit) {
		return rawFrame{}, eris.Wrapf(ErrFrameTooLarge, "%d of %d bytes", size, limit)
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(size+bytes.MinRead, initialReadBytes)))
	n, err := buf.ReadFrom(io.LimitReader(r, size+1))
	if err != nil {
		return rawFrame{}, err
	}
	if n != size {
		return rawFrame{}, eris.Wrapf(ErrMalformed, "%d bytes announced, %d received", size, n)
	}
	kind := Kind(binary.BigEndian.Uint16(header[4:6]))
	return rawFrame{kind: kind, payload: buf.Bytes()}, nil
}

// decode returns a pointer to a new message decoded from the payload.
func (f rawFrame) decode() (any, error) {
	msg, err := newMessage(f.kind)
	if err != nil {
		return nil, err
	}
	if err := decoder.Unmarshal(f.payload, msg); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "kind %d: %v", f.kind, err)
	}
	return msg, nil
}
