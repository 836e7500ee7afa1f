package gang

import "time"

// SetIsolationTimeout changes MemberConfig.IsolationTimeout for deadlines that
// are set from now on.
func (m *Member) SetIsolationTimeout(d time.Duration) { m.config.IsolationTimeout = d }
