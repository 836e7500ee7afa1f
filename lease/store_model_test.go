package lease_test

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

const ttl = 10 * time.Second

// model is a store with the two keys of one duty, on virtual time.
type model struct {
	now    time.Duration
	rev    store.Revision
	leases map[store.LeaseID]time.Duration // when each lapses
	holder store.LeaseID                   // whose key exists; zero: none
	epoch  uint64
	mod    store.Revision // of the epoch key
}

func (m *model) lapse() {
	for id, end := range m.leases {
		if m.now >= end {
			m.drop(id)
		}
	}
}

func (m *model) drop(id store.LeaseID) {
	delete(m.leases, id)
	if m.holder == id {
		m.holder = 0
	}
}

// apply carries out the action of a candidate whose clock shows sent.
func (m *model) apply(act lease.Action, sent time.Duration) lease.Event {
	m.lapse()
	m.rev++
	switch act := act.(type) {
	case lease.AwaitVacant:
		if m.holder == 0 {
			return lease.Vacant{}
		}
		return nil
	case lease.Grant:
		id := store.LeaseID(m.rev)
		m.leases[id] = m.now + ttl
		return lease.Granted{Lease: id, Sent: sent}
	case lease.Claim:
		if _, ok := m.leases[act.Lease]; !ok {
			return lease.Failed{LeaseNotFound: true}
		}
		succeeded := m.holder == 0
		if succeeded {
			m.holder = act.Lease
		}
		return lease.Claimed{Succeeded: succeeded}
	case lease.ReadEpoch:
		return lease.EpochRead{Epoch: m.epoch, Revision: m.mod}
	case lease.RaiseEpoch:
		succeeded := m.mod == act.ExpectRevision
		if succeeded {
			m.epoch, m.mod = act.Epoch, m.rev
		}
		return lease.Raised{Succeeded: succeeded}
	case lease.Verify:
		return lease.Verified{Owned: m.holder == act.Lease}
	case lease.Renew:
		if _, ok := m.leases[act.Lease]; !ok {
			return lease.Failed{LeaseNotFound: true}
		}
		m.leases[act.Lease] = m.now + ttl
		return lease.Renewed{Sent: sent}
	case lease.Revoke:
		m.drop(act.Lease)
		return lease.Revoked{}
	}
	return lease.WaitEnded{}
}

// candidate is one Elector with its clock, its action and that action's event
// where it is still on its way back.
type candidate struct {
	*lease.Elector
	offset time.Duration
	rate   time.Duration // percent of true time
	act    lease.Action
	sent   time.Duration
	event  lease.Event
	paused time.Duration // true time
	// claimed is the lease of the last Claim.
	claimed store.LeaseID
}

func (c *candidate) clock(now time.Duration) time.Duration {
	return c.offset + now*c.rate/100
}

func (c *candidate) step(now time.Duration, ev lease.Event) {
	c.act = c.Step(c.clock(now), ev)
	c.sent, c.event = c.clock(now), nil
	if claim, ok := c.act.(lease.Claim); ok {
		c.claimed = claim.Lease
	}
}

func (c *candidate) valid(now time.Duration) (lease.Leadership, bool) {
	held, ok := c.Leadership()
	return held, ok && c.clock(now) < held.ValidUntil
}
