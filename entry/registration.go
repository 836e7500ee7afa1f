package entry

import (
	"context"
	"encoding/json"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Registration holds the id and address of a registered entry.
type Registration struct {
	ID   string
	HTTP string // host:port of its callers' HTTP interface
}

// ListRegistrations lists the entries of a region that are registered in the store.
func ListRegistrations(ctx context.Context, kv store.Store, region string) ([]Registration, error) {
	snap, err := kv.List(ctx, "entries/"+region+"/")
	if err != nil {
		return nil, err
	}
	var out []Registration
	for _, item := range snap.Keys {
		var p entryRecord
		if json.Unmarshal(item.Value, &p) == nil {
			out = append(out, Registration{ID: p.ID, HTTP: p.HTTP})
		}
	}
	return out, nil
}
