package v3json

// EventDelete is the type of a deletion; a put leaves the type out.
const EventDelete = "DELETE"

// WatchCreate opens a watch on [Key, RangeEnd) from StartRevision on.
type WatchCreate struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,omitempty,string"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the one message sent on a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch: its creation, its cancellation,
// changes, or (without events) a progress notice.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchMessage wraps what a watch streams.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}
