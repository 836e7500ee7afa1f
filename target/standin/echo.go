package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Echo is the answer to a quick request: who asked for what. A caller can tell
// from it that the answer is whole and its own.
type Echo struct {
	RequestID string `json:"request"`
	Attempt   int    `json:"attempt"`
	Account   string `json:"account"`
	Class     string `json:"class"`
	Method    string `json:"method"`
	// Path is below the requests path.
	Path  string `json:"path"`
	Query string `json:"query,omitempty"`
	// BodySum is the checksum of the request's body.
	BodySum string `json:"body_sum"`
	// Padding pads the answer to the size asked for by the query's "pad".
	Padding string `json:"fill,omitempty"`
	// Sum is the checksum of all the fields above.
	Sum string `json:"sum"`
}

// BodySum is the checksum of a request's body as an Echo shows it.
func BodySum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Checksum computes what Sum must be.
func (e Echo) Checksum() string {
	h := xxhash.New()
	fields := []string{
		e.RequestID, strconv.Itoa(e.Attempt), e.Account, e.Class,
		e.Method, e.Path, e.Query, e.BodySum, e.Padding,
	}
	for _, f := range fields {
		// The length before each field keeps two fields from running together.
		_, _ = h.WriteString(strconv.Itoa(len(f)) + ":" + f)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}
