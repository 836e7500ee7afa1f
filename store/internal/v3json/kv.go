package v3json

// Header is part of every reply. Revision is the store's current revision. ClusterID
// changes when the store is restored from a backup.
type Header struct {
	ClusterID uint64 `json:"cluster_id,omitempty,string"`
	Revision  int64  `json:"revision,omitempty,string"`
}

// KeyValue is the state of one key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or only Key if RangeEnd is empty.
// Revision zero reads the latest state, and Limit zero all keys. KeysOnly omits the
// values.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
	Revision int64  `json:"revision,omitempty,string"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the reply to RangeRequest. More is set if Limit truncated the
// result.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRangeRequest deletes one key or a range.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// WriteResponse is the reply to a put or a delete.
type WriteResponse struct {
	Header Header `json:"header"`
}
