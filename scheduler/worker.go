package scheduler

// MaxWorkerAccelerators is the most accelerators of one worker that the
// scheduler uses. Any others stay idle.
const MaxWorkerAccelerators = 64

// Worker describes the capacity and the position of a worker. Accelerators may
// be 0. Rack names are scoped by their availability zone.
type Worker struct {
	ID           WorkerID
	Zone         string
	Rack         string
	Accelerators int
	Cores        int
	MemoryMB     int
}
