package gang

// phase is the current phase of a coordinator.
type phase uint8

const (
	phaseNew phase = iota
	phaseReserving
	phaseRecording
	phaseResolving // a successor asks the members how far the attempt got
	phaseCommitting
	phaseStarting
	phaseRunning
	phaseStopping
	phaseEnded
)
