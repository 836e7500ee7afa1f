package standin

// Modes of being down.
const (
	DownRefuse = "refuse" // every call is answered with 503 at once
	DownHang   = "hang"   // every call is left without a reply
)

// Faults is what a Server does wrong. The zero value is none.
type Faults struct {
	// Down is empty, DownRefuse or DownHang. Open watches are cut.
	Down string `json:"down,omitempty"`
	// DelayMillis holds every call back before it takes effect.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseReplies is how many of the next writes take effect but break the
	// connection instead of being answered.
	LoseReplies int `json:"lose_replies,omitempty"`
	// LoseRequests is how many of the next writes break the connection without
	// taking effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// CutWatches breaks every open watch, once.
	CutWatches bool `json:"cut_watches,omitempty"`
	// FreezeWatches silences every open watch for good, without closing its
	// connection. Watches opened later are not affected.
	FreezeWatches bool `json:"freeze_watches,omitempty"`
	// MaxReads and MaxWrites are calls a second; what is beyond them is
	// answered with 429. Zero means no limit.
	MaxReads  float64 `json:"max_reads,omitempty"`
	MaxWrites float64 `json:"max_writes,omitempty"`
}
