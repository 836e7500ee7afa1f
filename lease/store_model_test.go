package lease_test

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/store"
)

const ttl = 10 * time.Second

// storeModel is a store with the two keys of one election, in virtual time.
type storeModel struct {
	now           time.Duration
	rev           store.Revision
	leases        map[store.LeaseID]time.Duration // when each expires
	holderLease   store.LeaseID                   // whose key exists; zero: none
	epoch         uint64
	epochRevision store.Revision
}

func (m *storeModel) expireLeases() {
	for id, end := range m.leases {
		if m.now >= end {
			m.dropLease(id)
		}
	}
}

func (m *storeModel) dropLease(id store.LeaseID) {
	delete(m.leases, id)
	if m.holderLease == id {
		m.holderLease = 0
	}
}

// apply executes an action of a candidate whose clock shows sent.
func (m *storeModel) apply(act lease.Action, sent time.Duration) lease.Event {
	m.expireLeases()
	m.rev++
	switch act := act.(type) {
	case lease.AwaitVacant:
		if m.holderLease == 0 {
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
		succeeded := m.holderLease == 0
		if succeeded {
			m.holderLease = act.Lease
		}
		return lease.Claimed{Succeeded: succeeded}
	case lease.ReadEpoch:
		return lease.EpochRead{Epoch: m.epoch, Revision: m.epochRevision}
	case lease.RaiseEpoch:
		succeeded := m.epochRevision == act.ExpectRevision
		if succeeded {
			m.epoch, m.epochRevision = act.Epoch, m.rev
		}
		return lease.Raised{Succeeded: succeeded}
	case lease.Verify:
		return lease.Verified{Owned: m.holderLease == act.Lease}
	case lease.Renew:
		if _, ok := m.leases[act.Lease]; !ok {
			return lease.Failed{LeaseNotFound: true}
		}
		m.leases[act.Lease] = m.now + ttl
		return lease.Renewed{Sent: sent}
	case lease.Revoke:
		m.dropLease(act.Lease)
		return lease.Revoked{}
	}
	return lease.WaitEnded{}
}

// simCandidate is an Elector with its clock, its action in progress, and the action's
// event while that is in flight.
type simCandidate struct {
	*lease.Elector
	offset      time.Duration
	ratePercent time.Duration // clock rate relative to true time
	action      lease.Action
	sent        time.Duration
	reply       lease.Event
	pausedUntil time.Duration // true time
	// claimLease is the lease of the last Claim.
	claimLease store.LeaseID
}

func (c *simCandidate) clock(now time.Duration) time.Duration {
	return c.offset + now*c.ratePercent/100
}

func (c *simCandidate) step(now time.Duration, ev lease.Event) {
	c.action = c.Step(c.clock(now), ev)
	c.sent, c.reply = c.clock(now), nil
	if claim, ok := c.action.(lease.Claim); ok {
		c.claimLease = claim.Lease
	}
}

func (c *simCandidate) validLeadership(now time.Duration) (lease.Leadership, bool) {
	held, ok := c.Leadership()
	return held, ok && c.clock(now) < held.ValidUntil
}
