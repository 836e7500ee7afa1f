package v3json

// GrantRequest creates a lease of TTL seconds under an ID of the caller's
// choice.
type GrantRequest struct {
	TTL int64 `json:"TTL,omitempty,string"`
	ID  int64 `json:"ID,omitempty,string"`
}

// LeaseRequest names a lease, to renew or revoke it.
type LeaseRequest struct {
	ID int64 `json:"ID,omitempty,string"`
}

// LeaseResponse is the reply to every lease call. A TTL of zero on a renewal
// means that the lease is gone.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// KeepAliveResponse wraps the reply to a renewal, which the API streams.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}
