package scheduler

import "time"

// forgetNodeAfter is how long the record of a worker that is down is kept
// before a new worker may reuse it.
const forgetNodeAfter = 10 * time.Minute

func (s *Scheduler) indexes() [4]*index {
	return [4]*index{&s.installed, &s.open, &s.unguaranteed, &s.bindable}
}

// refreshIndexes updates the indexes from the counts of a node.
func (s *Scheduler) refreshIndexes(n *node) {
	slack, open := n.bindable(), n.open()
	unguaranteed := min(open, n.slack())
	if open > int(s.open.values[n.id]) || unguaranteed > int(s.unguaranteed.values[n.id]) {
		s.capacityGen++
	}
	if slack > int(s.bindable.values[n.id]) {
		s.capacityGen++
	}
	s.bindable.set(n, slack)
	s.open.set(n, open)
	s.unguaranteed.set(n, unguaranteed)
}

// zoneIndex returns the number of a zone, and adds the zone if it is new.
func (s *Scheduler) zoneIndex(name string) int32 {
	z, ok := s.zoneByID[name]
	if !ok {
		z = int32(len(s.zoneByID))
		s.zoneByID[name] = z
		for _, x := range s.indexes() {
			x.addZone()
		}
	}
	return z
}

// rackIndex returns the number of a rack, and adds the rack if it is new.
func (s *Scheduler) rackIndex(zone, name string) int32 {
	z := s.zoneIndex(zone)
	k := rackKey{zone, name}
	r, ok := s.rackByID[k]
	if !ok {
		r = int32(len(s.rackByID))
		s.rackByID[k] = r
		for _, x := range s.indexes() {
			x.addRack(z)
		}
	}
	return r
}

// addNode returns a record for an unknown worker: a reused one if there is any,
// or a new one.
func (s *Scheduler) addNode(w Worker) *node {
	if n := s.reuseDownNode(); n != nil {
		s.nodeByID[w.ID] = n
		return n
	}
	n := &node{id: nodeID(len(s.nodes))}
	s.nodes = append(s.nodes, n)
	s.nodeByID[w.ID] = n
	for _, x := range s.indexes() {
		x.addNode()
	}
	s.cpu.addNode()
	return n
}

// reuseDownNode clears and returns the record of the worker that has been down
// longest, if its history may be forgotten, or nil.
func (s *Scheduler) reuseDownNode() *node {
	for len(s.downNodes) > 0 {
		n := s.downNodes[0]
		if n.up {
			s.downNodes = s.downNodes[1:]
			continue
		}
		if s.now.Sub(n.health.until) < forgetNodeAfter || len(n.runs) > 0 || n.reserved > 0 || n.claimed > 0 {
			return nil
		}
		s.downNodes = s.downNodes[1:]
		delete(s.nodeByID, n.ID)
		s.installed.set(n, 0)
		*n = node{id: n.id, zone: n.zone, rack: n.rack}
		return n
	}
	return nil
}

func (s *Scheduler) workerUp(w Worker) {
	n := s.nodeByID[w.ID]
	if n == nil {
		n = s.addNode(w)
	}
	if n.up && n.Worker == w && !n.draining {
		return
	}
	if n.up && n.Worker != w {
		s.takeDown(n)
	}
	s.setWorker(n, w)
	n.up = true
	n.draining = false
	s.topologyGen++
	s.refreshIndexes(n)
	s.refreshCPU(n)
}

// setWorker sets the size and the position of a worker. The node must not be
// usable yet, so that only its size is in an index.
func (s *Scheduler) setWorker(n *node, w Worker) {
	for _, x := range s.indexes() {
		x.set(n, 0)
	}
	s.cpuJobCores -= n.cpuBudget(s.policy.CPUSharePercent)
	n.Worker = w
	n.rack = s.rackIndex(w.Zone, w.Rack)
	n.zone = s.zoneIndex(w.Zone)
	s.cpuJobCores += n.cpuBudget(s.policy.CPUSharePercent)
	s.installed.set(n, min(max(0, w.Accelerators), MaxWorkerAccelerators))
	s.lowerMinShare(n)
	s.recountCPU(n)
}

// takeDown marks a node as down and drops what is planned on it. Its attempts
// stay.
func (s *Scheduler) takeDown(n *node) {
	n.up = false
	s.dropPlansOn(n)
}

// dropPlansOn unbinds the blocks and drops the claims and reservations on a
// node that has just become unusable.
func (s *Scheduler) dropPlansOn(n *node) {
	s.shrinkGen++
	for len(n.blocks) > 0 {
		s.detach(n.blocks[0])
		s.retryRepack()
	}
	for _, c := range append([]*claim(nil), s.claims...) {
		if c.includesNode(n.id) {
			s.dropClaim(c)
		}
	}
	if n.cpuReservedFor != nil {
		s.dropCPUReservation(n.cpuReservedFor)
	}
	s.refreshIndexes(n)
	s.refreshCPU(n)
}

func (s *Scheduler) workerDraining(id WorkerID) {
	n := s.nodeByID[id]
	if n == nil || n.draining || !n.up {
		return
	}
	n.draining = true
	s.dropPlansOn(n)
}

// workerDown stops every gang that has a member on the worker, since a gang
// never runs without one of its members.
func (s *Scheduler) workerDown(id WorkerID) {
	n := s.nodeByID[id]
	if n == nil || !n.up {
		return
	}
	s.takeDown(n)
	n.health.until = s.now
	s.downNodes = append(s.downNodes, n)
	for _, r := range append([]*run(nil), n.runs...) {
		s.stopRun(r, StopWorkerLost, false)
	}
}
