package v3json

// GrantRequest creates a lease of TTL seconds with the given ID.
type GrantRequest struct {
	TTL int64 `json:"TTL,omitempty,string"`
	ID  int64 `json:"ID,omitempty,string"`
}

// LeaseRequest identifies a lease to renew or revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,omitempty,string"`
}

// LeaseResponse is the reply to every lease call. A TTL of zero in the reply to a
// renewal means that the lease does not exist.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// KeepAliveResponse wraps the reply to a renewal, which the API returns as a stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}
