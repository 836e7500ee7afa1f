package scheduler

// Grant is the accelerators of one worker that a gang holds, by number from 0.
// It is empty for a job without accelerators.
type Grant struct {
	Worker       WorkerID
	Accelerators []int
}

// Placement is every grant of one gang.
type Placement []Grant
