package standin

// Values of Faults.Down.
const (
	DownRefuse = "refuse" // every call is answered with 503
	DownHang   = "hang"   // no call is answered
)

// Faults selects the faults that a Server injects. The zero value injects none.
type Faults struct {
	// Down is empty, DownRefuse or DownHang. Setting it closes open watches.
	Down string `json:"down,omitempty"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseReplies is the number of following writes that take effect and then close the
	// connection without a reply.
	LoseReplies int `json:"lose_replies,omitempty"`
	// LoseRequests is the number of following writes that close the connection without
	// taking effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// CutWatches closes the connections of all open watches once.
	CutWatches bool `json:"cut_watches,omitempty"`
	// FreezeWatches permanently stops messages on all open watches without closing
	// their connections. Watches opened later are not affected.
	FreezeWatches bool `json:"freeze_watches,omitempty"`
	// MaxReads and MaxWrites limit the calls per second; further ones are answered with
	// 429. Zero means no limit.
	MaxReads  float64 `json:"max_reads,omitempty"`
	MaxWrites float64 `json:"max_writes,omitempty"`
}
