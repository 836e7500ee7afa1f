package v3json

// Header comes with every reply. Revision is the store's at the time.
// ClusterID changes when a store is rebuilt from a backup.
type Header struct {
	ClusterID uint64 `json:"cluster_id,omitempty,string"`
	Revision  int64  `json:"revision,omitempty,string"`
}

// KeyValue is one key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or Key alone where RangeEnd
// is empty. Revision zero reads the newest state. Limit zero reads all of them;
// KeysOnly leaves their values out.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
	Revision int64  `json:"revision,omitempty,string"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the reply to RangeRequest. More says that Limit cut it short.
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
