package load

import (
	"encoding/json"
	"fmt"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// verifyEcho returns the checksum in the body of an answer, and a description of the problem if
// the body is not the complete answer to r.
func verifyEcho(r *api.QuickRequest, body []byte) (sum, problem string) {
	var e standin.Echo
	if err := json.Unmarshal(body, &e); err != nil {
		return "", fmt.Sprintf("body of %d bytes is no echo: %v", len(body), err)
	}
	switch {
	case e.Sum != e.Checksum():
		return e.Sum, "body isn't whole: its checksum is wrong"
	case e.Path != r.Path || e.Query != r.RawQuery:
		return e.Sum, fmt.Sprintf("body answers %s?%s", e.Path, e.Query)
	case e.Account != r.Account || e.Class != r.Class:
		return e.Sum, fmt.Sprintf("body answers %s/%s", e.Account, e.Class)
	case e.BodySum != standin.BodySum(r.Body):
		return e.Sum, "body answers a request with another body"
	}
	return e.Sum, ""
}
