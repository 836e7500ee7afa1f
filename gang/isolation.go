package gang

import "time"

// SetIsolation changes MemberConfig.Isolation. It holds for deadlines set from
// then on.
func (m *Member) SetIsolation(d time.Duration) { m.config.Isolation = d }
