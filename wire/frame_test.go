package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/fxamacker/cbor/v2"
)

func TestReadFrameRejectsInvalidFrames(t *testing.T) {
	c := qt.New(t)
	valid, err := encodeFrame(&GangMessage{Payload: []byte("abc")}, 100)
	c.Assert(err, qt.IsNil)
	oversized := []byte{0xff, 0xff, 0xff, 0xff, 0, byte(KindGangMessage)}
	for _, test := range []struct {
		name string
		raw  []byte
		want error
	}{
		{"complete", valid, nil},
		{"truncated header", valid[:3], io.ErrUnexpectedEOF},
		{"truncated payload", valid[:len(valid)-1], ErrMalformed},
		{"trailing bytes", append(bytes.Clone(valid), 0), ErrMalformed},
		{"size exceeds the limit", oversized, ErrFrameTooLarge},
	} {
		_, err := readFrame(bytes.NewReader(test.raw), 100)
		c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
	}
}

// Memory must be allocated for received bytes, not for the announced size.
func TestReadFrameAllocatesForReceivedBytes(t *testing.T) {
	c := qt.New(t)
	truncated := []byte{0, 0xff, 0xff, 0xff, 0, byte(KindGangMessage), 1, 2, 3}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			readFrame(bytes.NewReader(truncated), DefaultMaxPayload)
		}
	})
	c.Assert(result.AllocedBytesPerOp() < 3*initialReadBytes, qt.IsTrue, qt.Commentf("%d bytes allocated", result.AllocedBytesPerOp()))
}

// A receiver must ignore fields added by a newer version.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	c := qt.New(t)
	payload, err := cbor.Marshal(map[int]any{1: []byte("x"), 2: 5, 99: "new"})
	c.Assert(err, qt.IsNil)
	msg, err := rawFrame{kind: KindGangMessage, payload: payload}.decode()
	c.Assert(err, qt.IsNil)
	c.Assert(msg, qt.DeepEquals, &GangMessage{Payload: []byte("x"), Epoch: 5})
	_, err = rawFrame{kind: KindFirstFree}.decode()
	c.Assert(errors.Is(err, ErrUnknownKind), qt.IsTrue)
}

// FuzzFrame checks that arbitrary input is an error or a message that can be encoded
// again.
func FuzzFrame(f *testing.F) {
	for _, msg := range []any{&Ping{}, &Execute{AttemptID: "a", Header: []Header{{Name: "A", Value: "b"}}},
		&Report{Reports: []AgentReport{{ID: "x", Full: true, Tasks: []gang.Task{{ID: gang.ID{Job: "j"}}}}}}} {
		frame, err := encodeFrame(msg, DefaultMaxPayload)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := readFrame(bytes.NewReader(raw), 1<<16)
		if err != nil {
			return
		}
		msg, err := frame.decode()
		if err != nil {
			return
		}
		if _, err := encodeFrame(msg, 1<<20); err != nil {
			t.Fatalf("decoded %T can't be encoded: %v", msg, err)
		}
	})
}
