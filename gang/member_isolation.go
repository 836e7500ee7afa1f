package gang

import "time"

// SetIsolationTimeout changes MemberConfig.Isolation. It holds for deadlines set from
// then on.
func (m *Member) SetIsolationTimeout(d time.Duration) { m.config.IsolationTimeout = d }
