package scheduler

import "github.com/bits-and-blooms/bitset"

// index orders workers by one value (such as free accelerators), within racks,
// and racks by their sum within zones. An update costs the same at any size; a
// search visits only the workers that it takes.
type index struct {
	whole   *index // accelerators of all workers, for the sizes of units
	val     []uint8
	rackPos []int32
	zonePos []int32
	racks   []*pool
	rackAt  []int32 // position of a rack in the list of its sum
	rackOf  []int32 // zone of a rack
	zones   []*zonePool
}

// zonePool is a pool of the workers of a zone, and its racks by sum.
type zonePool struct {
	pool
	bySum [][]int32
	sums  *bitset.BitSet
}

func (x *index) addZone() {
	x.zones = append(x.zones, &zonePool{sums: bitset.New(1024)})
}

func (x *index) addRack(zone int32) {
	r := int32(len(x.racks))
	x.racks = append(x.racks, &pool{})
	x.rackOf = append(x.rackOf, zone)
	x.rackAt = append(x.rackAt, 0)
	x.zones[zone].addRack(x.rackAt, r, 0)
}

func (x *index) addNode() {
	x.val = append(x.val, 0)
	x.rackPos = append(x.rackPos, 0)
	x.zonePos = append(x.zonePos, 0)
}

func (z *zonePool) addRack(at []int32, r int32, sum int) {
	for len(z.bySum) <= sum {
		z.bySum = append(z.bySum, nil)
	}
	at[r] = int32(len(z.bySum[sum]))
	z.bySum[sum] = append(z.bySum[sum], r)
	z.sums.Set(uint(sum))
}

func (z *zonePool) removeRack(at []int32, r int32, sum int) {
	list := z.bySum[sum]
	last := len(list) - 1
	moved := list[last]
	list[at[r]] = moved
	at[moved] = at[r]
	z.bySum[sum] = list[:last]
	if last == 0 {
		z.sums.Clear(uint(sum))
	}
}

// set changes the value of a worker.
func (x *index) set(n *node, v int) {
	old := int(x.val[n.id])
	if old == v {
		return
	}
	rack, zone := x.racks[n.rack], x.zones[n.zone]
	before := rack.sum
	rack.remove(x.rackPos, n.id, old)
	rack.add(x.rackPos, n.id, v)
	zone.remove(x.zonePos, n.id, old)
	zone.add(x.zonePos, n.id, v)
	zone.removeRack(x.rackAt, n.rack, before)
	zone.addRack(x.rackAt, n.rack, rack.sum)
	x.val[n.id] = uint8(v)
}

// total is the sum over all workers.
func (x *index) total() int {
	t := 0
	for _, z := range x.zones {
		t += z.sum
	}
	return t
}

// tightRack returns the rack of least sum that is not below need, in one zone.
func (z *zonePool) tightRack(need int) (rack int32, sum int, ok bool) {
	i, ok := z.sums.NextSet(uint(need))
	if !ok {
		return 0, 0, false
	}
	return z.bySum[i][0], int(i), true
}
