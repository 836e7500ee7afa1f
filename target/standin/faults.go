package standin

// Faults configure the faults to inject. The zero value injects none.
type Faults struct {
	// SlowFactor multiplies run times if it is above 0.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailQuick answers quick requests with status 500 after running them.
	FailQuick bool `json:"fail_quick,omitempty"`
	// FailTasks makes every task fail soon after its start.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// Hang leaves requests unanswered without running them.
	Hang bool `json:"hang,omitempty"`
	// HangAfterRun runs quick requests and leaves them unanswered.
	HangAfterRun bool `json:"hang_after_run,omitempty"`
	// CutBody runs quick requests and closes the connection in the middle of the body.
	CutBody bool `json:"cut_body,omitempty"`
	// HoldStarts delays starts of tasks until the faults change, even if the caller has
	// disconnected.
	HoldStarts bool `json:"hold_starts,omitempty"`
	// Reject refuses quick requests and starts of tasks without running them.
	Reject bool `json:"reject,omitempty"`
	// EveryNth applies the faults only to every n-th quick request; 0 and 1 mean all.
	EveryNth int `json:"every,omitempty"`
}

// SetFaults replaces the faults. The connections of requests that hang because of the
// previous ones are closed.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// nextQuickFaults returns the faults that apply to the next quick request.
func (s *Server) nextQuickFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quickReceived++
	if s.faults.EveryNth > 1 && s.quickReceived%s.faults.EveryNth != 0 {
		return Faults{}
	}
	return s.faults
}

func (f Faults) slowdown() float64 {
	if f.SlowFactor > 0 {
		return f.SlowFactor
	}
	return 1
}
