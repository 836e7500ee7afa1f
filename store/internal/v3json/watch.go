package v3json

// EventDelete is the type of a deletion; it is empty for a put.
const EventDelete = "DELETE"

// WatchCreate opens a watch on [Key, RangeEnd), starting with StartRevision.
type WatchCreate struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,omitempty,string"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the only message sent on a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch: its creation, its cancellation, events, or a
// progress notice, which has no events.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchMessage wraps a message of the watch's stream.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}
