package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/membership"
)

// duplicateWarningInterval is the shortest time between two warnings of one agent.
const duplicateWarningInterval = time.Minute

// duplicates warns of agents of which two processes run under one id, such as from a copied
// settings file. Only the one that was started last gets work. It is safe for concurrent use.
type duplicates struct {
	log *logrus.Entry

	mu       sync.Mutex
	warnedAt map[string]time.Time // by agent id
}

func newDuplicates(log *logrus.Entry) *duplicates {
	return &duplicates{log: log, warnedAt: make(map[string]time.Time)}
}

// warn logs each agent of which a process reports that is not the latest one, unless it is
// left over from a restart. senderAddr is that of the process or of its relay.
func (d *duplicates) warn(senderAddr string, actions []membership.Action, find func(id string) *membership.Member) {
	for _, a := range actions {
		newer, ok := a.(membership.Newer)
		if !ok || newer.KnownFor <= membership.MaxReportDelay || !d.isDue(newer.ID) {
			continue
		}
		log := d.log.WithFields(logrus.Fields{"agent": newer.ID, "ignored_from": senderAddr, "incarnation": newer.Incarnation})
		member := find(newer.ID)
		if member == nil {
			log.Warn("an agent's reports are ignored: a later process of its id was here, so its clock may have gone back")
			continue
		}
		log.WithField("address", member.Report.Address).Warn("two processes report under one agent id: only the one started last gets work")
	}
}

// isDue reports whether a warning of the agent is due now.
func (d *duplicates) isDue(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	for known, at := range d.warnedAt {
		if now.Sub(at) >= duplicateWarningInterval {
			delete(d.warnedAt, known)
		}
	}
	if _, warned := d.warnedAt[id]; warned {
		return false
	}
	d.warnedAt[id] = now
	return true
}
