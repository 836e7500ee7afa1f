package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// FetchAudit fetches the audit log of the stand-in worker at the base URL.
func FetchAudit(ctx context.Context, base string) (standin.Audit, error) {
	var a standin.Audit
	url := strings.TrimRight(base, "/") + standin.PathAudit
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return a, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return a, fmt.Errorf("%s: %w", url, err)
	}
	return a, nil
}
