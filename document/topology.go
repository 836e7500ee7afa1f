package document

// Topology is the capacity that the operators expect. Only the offline check of the
// guaranteed shapes uses it; running processes learn of the actual workers from the
// agents.
type Topology struct {
	Accelerators int            `toml:"accelerators" default:"8" validate:"min=1,max=1024" unit:"accelerators per worker"`
	Zones        []TopologyZone `toml:"zone" validate:"min=1,max=64,dive"`
}

// TopologyZone is one availability zone of the expected capacity. Racks holds the number
// of workers in each rack.
type TopologyZone struct {
	Name  string `toml:"name" validate:"required,name"`
	Racks []int  `toml:"racks" validate:"min=1,max=4096,dive,min=1,max=1024" unit:"racks"`
}

// WorkerCount returns the number of workers in the zone.
func (z TopologyZone) WorkerCount() int {
	n := 0
	for _, workers := range z.Racks {
		n += workers
	}
	return n
}

// TotalAccelerators returns the number of accelerators of all workers.
func (t *Topology) TotalAccelerators() int {
	n := 0
	for _, z := range t.Zones {
		n += z.WorkerCount() * t.Accelerators
	}
	return n
}

// largestUnit returns the largest number of accelerators that a single unit of the given
// adjacency (a worker, a rack, a zone) holds.
func (t *Topology) largestUnit(adjacency Adjacency) int {
	largest := 0
	switch adjacency {
	case SameWorker:
		return t.Accelerators
	case SameRack:
		for _, z := range t.Zones {
			for _, workers := range z.Racks {
				largest = max(largest, workers*t.Accelerators)
			}
		}
	case SameZone:
		for _, z := range t.Zones {
			largest = max(largest, z.WorkerCount()*t.Accelerators)
		}
	default:
		return t.TotalAccelerators()
	}
	return largest
}
