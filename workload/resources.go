package workload

// Resources are the resources that a task needs or that a worker has.
type Resources struct {
	MilliCPU     int `json:"cpu,omitempty" cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB     int `json:"mem,omitempty" cbor:"2,keyasint,omitempty"` // MiB
	Accelerators int `json:"acc,omitempty" cbor:"3,keyasint,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the larger value in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitsIn reports whether r fits into capacity in every dimension.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

// CountFitting returns how many tasks that need r each fit into capacity, at most limit.
func (r Resources) CountFitting(capacity Resources, limit int) int {
	n := limit
	n = min(n, countFitting(r.MilliCPU, capacity.MilliCPU, limit))
	n = min(n, countFitting(r.MemoryMB, capacity.MemoryMB, limit))
	n = min(n, countFitting(r.Accelerators, capacity.Accelerators, limit))
	return n
}

func countFitting(need, capacity, limit int) int {
	if capacity < 0 {
		return 0
	}
	if need <= 0 {
		return limit
	}
	return capacity / need
}

// coresPerAccelerator weighs accelerators against cores when work of different shapes is
// compared.
const coresPerAccelerator = 8

// CoreEquivalent returns the number of cores that r is worth; see coresPerAccelerator.
func (r Resources) CoreEquivalent() float64 {
	return float64(r.MilliCPU)/1000 + float64(coresPerAccelerator*r.Accelerators)
}
