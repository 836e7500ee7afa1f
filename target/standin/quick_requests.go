package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

// Query parameters of a quick request.
const (
	// ParamTag identifies the request in the audit for the caller.
	ParamTag = "tag"
	// ParamServiceTimeMS is the service time in milliseconds, a decimal number.
	ParamServiceTimeMS = "work_ms"
	// ParamPaddingBytes is the number of bytes of padding in the response.
	ParamPaddingBytes = "pad"
)

const (
	maxRunTime      = time.Hour
	maxPaddingBytes = 4 << 20
	maxBodyBytes    = 8 << 20
)

// handleQuick runs a quick request. A run that has begun continues after the caller has
// disconnected; the caller then does not know its outcome.
func (s *Server) handleQuick(w http.ResponseWriter, r *http.Request) {
	faults := s.nextQuickFaults()
	if faults.Reject {
		writeRefusal(w)
		return
	}
	if faults.Hang {
		s.hang(r)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeRefusal(w)
		return
	}
	query := r.URL.Query()
	echo := newEcho(r, query, body)
	run, runTime := s.startQuick(r, query, s.serviceTime(query), faults)
	completed := s.sleep(runTime)
	s.endQuick(run, r, completed, echo.Sum)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	s.respondQuick(w, r, faults, echo)
}

func writeRefusal(w http.ResponseWriter) {
	w.Header().Set(target.HeaderRefused, "true")
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

func newEcho(r *http.Request, query url.Values, body []byte) Echo {
	paddingBytes, _ := strconv.Atoi(query.Get(ParamPaddingBytes))
	attempt, _ := strconv.Atoi(r.Header.Get(target.HeaderAttempt))
	e := Echo{
		RequestID: r.Header.Get(target.HeaderRequestID),
		Attempt:   attempt,
		Account:   r.Header.Get(target.HeaderAccount),
		Class:     r.Header.Get(target.HeaderClass),
		Method:    r.Method,
		Path:      strings.TrimPrefix(r.URL.EscapedPath(), target.PathRequests),
		Query:     r.URL.RawQuery,
		BodySum:   BodySum(body),
		Padding:   strings.Repeat("x", min(max(paddingBytes, 0), maxPaddingBytes)),
	}
	e.Sum = e.Checksum()
	return e
}

func (s *Server) serviceTime(query url.Values) time.Duration {
	ms, err := strconv.ParseFloat(query.Get(ParamServiceTimeMS), 64)
	if err != nil || ms < 0 {
		return s.opts.ServiceTime
	}
	return min(time.Duration(ms*float64(time.Millisecond)), maxRunTime)
}

// startQuick records the start of a run and returns its run time, which grows when more
// requests run than there are slots.
func (s *Server) startQuick(r *http.Request, query url.Values, serviceTime time.Duration, f Faults) (*QuickRun, time.Duration) {
	attempt, _ := strconv.Atoi(r.Header.Get(target.HeaderAttempt))
	run := &QuickRun{
		RequestID: r.Header.Get(target.HeaderRequestID),
		Attempt:   attempt,
		Tag:       query.Get(ParamTag),
		Account:   r.Header.Get(target.HeaderAccount),
		Class:     r.Header.Get(target.HeaderClass),
		Start:     time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quickRunning++
	if s.canRecord() {
		s.quickRuns = append(s.quickRuns, run)
	}
	contention := max(1, float64(s.quickRunning)/float64(s.opts.Slots))
	return run, time.Duration(float64(serviceTime) * contention * f.slowdown())
}

func (s *Server) endQuick(run *QuickRun, r *http.Request, completed bool, checksum string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quickRunning--
	run.End = time.Now()
	run.Completed = completed
	run.Abandoned = r.Context().Err() != nil
	run.Checksum = checksum
}

func (s *Server) respondQuick(w http.ResponseWriter, r *http.Request, f Faults, echo Echo) {
	if f.HangAfterRun {
		s.hang(r)
	}
	data, err := json.Marshal(echo)
	if err != nil {
		panic("standin: encode echo: " + err.Error())
	}
	status := http.StatusOK
	if f.FailQuick {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if f.CutBody {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
