package standin

import (
	"net/http"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// apiError is the reply to a rejected call.
type apiError struct {
	status int
	body   v3json.Error
}

func newAPIError(code int, msg string) *apiError {
	status := http.StatusBadRequest
	switch code {
	case v3json.CodeNotFound:
		status = http.StatusNotFound
	case v3json.CodeResourceExhausted:
		status = http.StatusTooManyRequests
	case v3json.CodeUnavailable:
		status = http.StatusServiceUnavailable
	}
	return &apiError{status: status, body: v3json.Error{Error: msg, Message: msg, Code: code}}
}
