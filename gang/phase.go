package gang

// phase is where a coordinator is.
type phase uint8

const (
	phaseNew phase = iota
	phaseReserving
	phaseRecording
	phaseResolving // a successor asks how far its predecessor got
	phaseCommitting
	phaseStarting
	phaseRunning
	phaseStopping
	phaseEnded
)
