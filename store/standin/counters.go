package standin

// Counters holds the number of calls received since the start, including rejected and
// lost ones. A watch counts as one call.
type Counters struct {
	Range     int64 `json:"range"`
	Txn       int64 `json:"txn"`
	Grant     int64 `json:"grant"`
	KeepAlive int64 `json:"keepalive"`
	Revoke    int64 `json:"revoke"`
	Watch     int64 `json:"watch"`
	Refused   int64 `json:"refused"` // of the above, those answered with 429 or 503
	Lost      int64 `json:"lost"`    // of the above, those whose request or reply was lost
}

// Writes returns the number of calls that may write.
func (c Counters) Writes() int64 {
	return c.Txn + c.Grant + c.KeepAlive + c.Revoke
}

// Total returns the number of all calls.
func (c Counters) Total() int64 {
	return c.Writes() + c.Range + c.Watch
}
