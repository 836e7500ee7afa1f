package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

func (s *Server) getCapacity(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, target.Capacity{
		Cores:        s.opts.Cores,
		MemoryMB:     s.opts.MemoryMB,
		Accelerators: s.opts.Accelerators,
		Slots:        s.opts.Slots,
		Connections:  s.opts.Connections,
	})
}

// getUsage responds with the last sample until it is MaxUsageAge old.
func (s *Server) getUsage(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastUsage.SampledAt) >= s.opts.MaxUsageAge {
		s.lastUsage = s.sampleUsage(now)
	}
	writeJSON(w, s.lastUsage)
}

func (s *Server) sampleUsage(now time.Time) target.Usage {
	u := target.Usage{SampledAt: now, QuickRequests: s.quickRunning, OpenConnections: s.protocolConns, BusyAccelerators: []int{}}
	for a, t := range s.acceleratorHolders {
		if t != nil {
			u.BusyAccelerators = append(u.BusyAccelerators, a)
		}
	}
	for _, t := range s.tasks {
		if !t.state.Final() {
			u.RunningTasks++
		}
	}
	return u
}

func (s *Server) getAudit(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Audit())
}

func (s *Server) deleteAudit(w http.ResponseWriter, _ *http.Request) {
	s.ResetAudit()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	var f Faults
	if err := d.Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("standin: encode response: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
