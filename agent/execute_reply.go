package agent

import (
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

func refusedReply(reason, detail string, retryAfter time.Duration) *wire.ExecuteReply {
	return &wire.ExecuteReply{
		Outcome:    wire.OutcomeRefused,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: retryAfter,
	}
}

func unknownReply(reason, detail string) *wire.ExecuteReply {
	return &wire.ExecuteReply{Outcome: wire.OutcomeUnknown, Reason: reason, Detail: detail}
}

func decodeReply(data []byte) *wire.ExecuteReply {
	var r wire.ExecuteReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		panic(eris.Wrap(err, "agent: decode recorded reply"))
	}
	return &r
}

func toHTTPHeader(lines []wire.Header) http.Header {
	h := make(http.Header, len(lines))
	for _, l := range lines {
		h.Add(l.Name, l.Value)
	}
	return h
}

func toWireHeader(h http.Header) []wire.Header {
	lines := make([]wire.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			lines = append(lines, wire.Header{Name: name, Value: v})
		}
	}
	return lines
}
