package standin

// Counters are the calls received since the start, refused and lost ones
// included. A waiting watch counts as one call.
type Counters struct {
	Range     int64 `json:"range"`
	Txn       int64 `json:"txn"`
	Grant     int64 `json:"grant"`
	KeepAlive int64 `json:"keepalive"`
	Revoke    int64 `json:"revoke"`
	Watch     int64 `json:"watch"`
	Refused   int64 `json:"refused"` // of the above: answered with 429 or 503
	Lost      int64 `json:"lost"`    // of the above: request or reply lost
}

// Writes returns the calls that may write.
func (c Counters) Writes() int64 {
	return c.Txn + c.Grant + c.KeepAlive + c.Revoke
}

// Total returns all calls.
func (c Counters) Total() int64 {
	return c.Writes() + c.Range + c.Watch
}
