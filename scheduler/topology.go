package scheduler

import "time"

// forgetNodeAfter is how long the record of a worker that is down is kept before a
// new worker may take its place in the tables.
const forgetNodeAfter = 10 * time.Minute

func (s *Scheduler) indexes() [4]*index {
	return [4]*index{&s.installed, &s.open, &s.unguaranteed, &s.bindable}
}

// refreshIndexes brings the indexes up to date with a node.
func (s *Scheduler) refreshIndexes(n *node) {
	slack, open := n.bindable(), n.open()
	steady := min(open, n.slack())
	if open > int(s.open.values[n.id]) || steady > int(s.unguaranteed.values[n.id]) {
		s.capacityGen++
	}
	if slack > int(s.bindable.values[n.id]) {
		s.capacityGen++
	}
	s.bindable.set(n, slack)
	s.open.set(n, open)
	s.unguaranteed.set(n, steady)
}

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

// addNode returns the record for a worker that is not known, which is that of a
// worker long gone if there is one.
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

// setWorker puts the size and position of a worker in force. The node must not be
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

// takeDown takes a node out of use: blocks and reservations move away, attempts
// stay.
func (s *Scheduler) takeDown(n *node) {
	n.up = false
	s.dropPlansOn(n)
}

// dropPlansOn gives up what is planned on a node that has just become unusable.
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

// workerDown stops every gang that has a member on the worker: a gang never
// goes on without one of its members.
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
