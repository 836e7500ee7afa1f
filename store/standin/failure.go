package standin

import (
	"net/http"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// failure is a refused call.
type failure struct {
	status int
	body   v3json.Error
}

func refusal(code int, msg string) *failure {
	status := http.StatusBadRequest
	switch code {
	case v3json.CodeNotFound:
		status = http.StatusNotFound
	case v3json.CodeResourceExhausted:
		status = http.StatusTooManyRequests
	case v3json.CodeUnavailable:
		status = http.StatusServiceUnavailable
	}
	return &failure{status: status, body: v3json.Error{Error: msg, Message: msg, Code: code}}
}
