package scheduler

import "time"

// forgetAfter is how long the record of a worker that is down is kept before a
// new worker may take its place in the tables.
const forgetAfter = 10 * time.Minute

func (s *Scheduler) indexes() [4]*index {
	return [4]*index{&s.size, &s.open, &s.steady, &s.slack}
}

// refresh brings the indexes up to date with a node.
func (s *Scheduler) refresh(n *node) {
	slack, open := n.bindable(), n.open()
	steady := min(open, n.slack())
	if open > int(s.open.val[n.id]) || steady > int(s.steady.val[n.id]) {
		s.grown++
	}
	if slack > int(s.slack.val[n.id]) {
		s.grown++
	}
	s.slack.set(n, slack)
	s.open.set(n, open)
	s.steady.set(n, steady)
}

func (s *Scheduler) zoneOf(name string) int32 {
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

func (s *Scheduler) rackOf(zone, name string) int32 {
	z := s.zoneOf(zone)
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
	if n := s.forget(); n != nil {
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

func (s *Scheduler) forget() *node {
	for len(s.gone) > 0 {
		n := s.gone[0]
		if n.up {
			s.gone = s.gone[1:]
			continue
		}
		if s.now.Sub(n.health.until) < forgetAfter || len(n.runs) > 0 || n.wait > 0 || n.claim > 0 {
			return nil
		}
		s.gone = s.gone[1:]
		delete(s.nodeByID, n.ID)
		s.size.set(n, 0)
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
		s.vacate(n)
	}
	s.describe(n, w)
	n.up = true
	n.draining = false
	s.shape++
	s.refresh(n)
	s.refreshCPU(n)
}

// describe puts the size and position of a worker in force. The node must not be
// usable yet, so that only its size is in an index.
func (s *Scheduler) describe(n *node, w Worker) {
	for _, x := range s.indexes() {
		x.set(n, 0)
	}
	s.cores -= n.cpuBudget(s.policy.CPUSharePercent)
	n.Worker = w
	n.rack = s.rackOf(w.Zone, w.Rack)
	n.zone = s.zoneOf(w.Zone)
	s.cores += n.cpuBudget(s.policy.CPUSharePercent)
	s.size.set(n, min(max(0, w.Accelerators), MaxWorkerAccelerators))
	s.leastShare(n)
	s.recountCPU(n)
}

// vacate takes a node out of use: blocks and reservations move away, attempts
// stay.
func (s *Scheduler) vacate(n *node) {
	n.up = false
	s.leave(n)
}

// leave gives up what is planned on a node that has just become unusable.
func (s *Scheduler) leave(n *node) {
	s.shrunk++
	for len(n.blocks) > 0 {
		s.detach(n.blocks[0])
		s.unpacked()
	}
	for _, c := range append([]*claim(nil), s.claims...) {
		if c.on(n.id) {
			s.dropClaim(c)
		}
	}
	if n.cpuFor != nil {
		s.dropCPU(n.cpuFor)
	}
	s.refresh(n)
	s.refreshCPU(n)
}

func (s *Scheduler) workerDraining(id WorkerID) {
	n := s.nodeByID[id]
	if n == nil || n.draining || !n.up {
		return
	}
	n.draining = true
	s.leave(n)
}

// workerDown stops every gang that has a member on the worker: a gang never
// goes on without one of its members.
func (s *Scheduler) workerDown(id WorkerID) {
	n := s.nodeByID[id]
	if n == nil || !n.up {
		return
	}
	s.vacate(n)
	n.health.until = s.now
	s.gone = append(s.gone, n)
	for _, r := range append([]*run(nil), n.runs...) {
		s.stopRun(r, StopWorkerLost, false)
	}
}
