package standin

// Faults are what the stand-in does wrong. The zero value is none.
type Faults struct {
	// SlowFactor multiplies run times when above 0.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailQuick answers quick requests with status 500 after running them.
	FailQuick bool `json:"fail_quick,omitempty"`
	// FailTasks lets every task fail soon after its start.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// Hang keeps silent before running anything.
	Hang bool `json:"hang,omitempty"`
	// HangAfterRun runs a quick request and then keeps silent.
	HangAfterRun bool `json:"hang_after_run,omitempty"`
	// CutBody runs a quick request and closes the connection mid-body.
	CutBody bool `json:"cut_body,omitempty"`
	// HoldStarts holds starts of tasks on their way until the faults change, also
	// when whoever sent one is gone.
	HoldStarts bool `json:"hold_starts,omitempty"`
	// Reject refuses quick requests and starts of tasks, without running them.
	Reject bool `json:"reject,omitempty"`
	// EveryNth lets only each n-th quick request meet the faults; 0 and 1 mean all.
	EveryNth int `json:"every,omitempty"`
}

// SetFaults replaces the faults. Requests held silent by the old ones end with
// their connection closed.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// nextQuickFaults returns the faults that the next quick request meets.
func (s *Server) nextQuickFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quickCount++
	if s.faults.EveryNth > 1 && s.quickCount%s.faults.EveryNth != 0 {
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
