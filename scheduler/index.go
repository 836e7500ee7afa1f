package scheduler

import "github.com/bits-and-blooms/bitset"

// index orders workers by one value, such as open accelerators, within racks
// and zones, and racks by their sum within zones. The cost of an update does
// not depend on the number of workers. A search visits the workers that it
// takes and a bounded number of others per zone.
type index struct {
	installed   *index  // all accelerators of the workers, for the sizes of zones and racks
	values      []uint8 // by node
	posInRack   []int32 // position of a node in the list of its value in its rack's pool
	posInZone   []int32 // the same in its zone's pool
	racks       []*pool
	rackListPos []int32 // position of a rack in racksBySum of its zone
	zoneOfRack  []int32
	zones       []*zonePool
}

// zonePool is the pool of a zone's workers, and its racks by their sum.
type zonePool struct {
	pool
	racksBySum   [][]int32
	nonEmptySums *bitset.BitSet
}

func (x *index) addZone() {
	x.zones = append(x.zones, &zonePool{nonEmptySums: bitset.New(1024)})
}

func (x *index) addRack(zone int32) {
	r := int32(len(x.racks))
	x.racks = append(x.racks, &pool{})
	x.zoneOfRack = append(x.zoneOfRack, zone)
	x.rackListPos = append(x.rackListPos, 0)
	x.zones[zone].addRack(x.rackListPos, r, 0)
}

func (x *index) addNode() {
	x.values = append(x.values, 0)
	x.posInRack = append(x.posInRack, 0)
	x.posInZone = append(x.posInZone, 0)
}

func (z *zonePool) addRack(positions []int32, r int32, sum int) {
	for len(z.racksBySum) <= sum {
		z.racksBySum = append(z.racksBySum, nil)
	}
	positions[r] = int32(len(z.racksBySum[sum]))
	z.racksBySum[sum] = append(z.racksBySum[sum], r)
	z.nonEmptySums.Set(uint(sum))
}

func (z *zonePool) removeRack(positions []int32, r int32, sum int) {
	list := z.racksBySum[sum]
	last := len(list) - 1
	moved := list[last]
	list[positions[r]] = moved
	positions[moved] = positions[r]
	z.racksBySum[sum] = list[:last]
	if last == 0 {
		z.nonEmptySums.Clear(uint(sum))
	}
}

// set changes the value of a worker.
func (x *index) set(n *node, v int) {
	old := int(x.values[n.id])
	if old == v {
		return
	}
	rack, zone := x.racks[n.rack], x.zones[n.zone]
	before := rack.sum
	rack.remove(x.posInRack, n.id, old)
	rack.add(x.posInRack, n.id, v)
	zone.remove(x.posInZone, n.id, old)
	zone.add(x.posInZone, n.id, v)
	zone.removeRack(x.rackListPos, n.rack, before)
	zone.addRack(x.rackListPos, n.rack, rack.sum)
	x.values[n.id] = uint8(v)
}

// total returns the sum over all workers.
func (x *index) total() int {
	t := 0
	for _, z := range x.zones {
		t += z.sum
	}
	return t
}

// bestFitRack returns a rack of the zone with the smallest sum that is at least
// need.
func (z *zonePool) bestFitRack(need int) (rack int32, sum int, ok bool) {
	i, ok := z.nonEmptySums.NextSet(uint(need))
	if !ok {
		return 0, 0, false
	}
	return z.racksBySum[i][0], int(i), true
}
