package scheduler

// Grant is the accelerators of one worker that a gang holds, numbered from 0.
// It is empty for a job without accelerators.
type Grant struct {
	Worker       WorkerID
	Accelerators []int
}

// Placement holds all grants of one gang.
type Placement []Grant
