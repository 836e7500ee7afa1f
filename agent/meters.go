package agent

import (
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

type meters struct{}

func newMeters() *meters { return &meters{} }

func (m *meters) quick(account, class string, took time.Duration, o wire.Outcome) {}
func (a *Agent) MetricsHandler() http.Handler                                     { return http.NotFoundHandler() }
