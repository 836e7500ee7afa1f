package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Echo is the response to a quick request. It repeats the request, so that a caller can
// check that the response is complete and its own.
type Echo struct {
	RequestID string `json:"request"`
	Attempt   int    `json:"attempt"`
	Account   string `json:"account"`
	Class     string `json:"class"`
	Method    string `json:"method"`
	// Path is relative to target.PathRequests.
	Path  string `json:"path"`
	Query string `json:"query,omitempty"`
	// BodySum is the checksum of the request's body.
	BodySum string `json:"body_sum"`
	// Padding has the length that the query parameter ParamPaddingBytes asks for.
	Padding string `json:"fill,omitempty"`
	// Sum is the checksum of all fields above.
	Sum string `json:"sum"`
}

// BodySum returns the checksum of a request's body as used in an Echo.
func BodySum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Checksum computes the expected value of Sum.
func (e Echo) Checksum() string {
	h := xxhash.New()
	fields := []string{
		e.RequestID, strconv.Itoa(e.Attempt), e.Account, e.Class,
		e.Method, e.Path, e.Query, e.BodySum, e.Padding,
	}
	for _, f := range fields {
		// The length prefix keeps different field boundaries from giving the same input.
		_, _ = h.WriteString(strconv.Itoa(len(f)) + ":" + f)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}
