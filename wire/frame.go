package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// DefaultMaxPayload is the default limit of a frame's payload in bytes.
const DefaultMaxPayload = 16 << 20

// A frame is a header and a payload. The header is the payload's length
// (4 bytes, big-endian) and the kind (2 bytes, big-endian).
const headerSize = 6

// initialReadBytes is how much is allocated for a payload before any of it arrived.
const initialReadBytes = 4096

// encodeFrame returns the frame of msg, a registered struct or pointer to one.
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

// rawFrame is a frame whose payload is not decoded yet.
type rawFrame struct {
	kind    Kind
	payload []byte
}

// readFrame reads one frame and the end of r after it. The announced size is
// checked before anything is allocated for it, and memory grows only with the
// bytes that really arrive. A frame without its end, or with bytes after it,
// is an error: the caller may rely on having seen everything the peer wrote.
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

// decode decodes the payload into a new decode, returned as pointer.
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
