package workload

// Resources are what a task takes of a worker, or what a worker has.
type Resources struct {
	MilliCPU     int `json:"cpu,omitempty" cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB     int `json:"mem,omitempty" cbor:"2,keyasint,omitempty"` // MiB
	Accelerators int `json:"acc,omitempty" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the larger of the two in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitsIn says whether r fits into room in every dimension.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

// CountFitting returns how many tasks that need r each fit into room; at most limit.
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

// coresPerAccelerator is what one accelerator weighs against a core when work of
// different shapes is compared.
const coresPerAccelerator = 8

// CoreEquivalent returns r's weight in cores, with an accelerator as eight of them.
func (r Resources) CoreEquivalent() float64 {
	return float64(r.MilliCPU)/1000 + float64(coresPerAccelerator*r.Accelerators)
}
