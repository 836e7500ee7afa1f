package load

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// ReadPlan reads and validates a workload file. Errors name the file, the key and the reason.
func ReadPlan(file string) (Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, err
	}
	return ParsePlan(file, text)
}

// ParsePlan parses and validates the text of a workload file. The file name is used in errors
// only.
func ParsePlan(file string, text []byte) (Plan, error) {
	var p Plan
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Plan{}, decodeError(file, err)
	}
	if err := p.validate(); err != nil {
		return Plan{}, fmt.Errorf("%s: %w", file, err)
	}
	return p, nil
}

func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		e := strict.Errors[0]
		line, _ := e.Position()
		return fmt.Errorf("%s:%d: %s: no such key", file, line, strings.Join(e.Key(), "."))
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		line, _ := de.Position()
		return fmt.Errorf("%s:%d: %s: %w", file, line, strings.Join(de.Key(), "."), err)
	}
	return fmt.Errorf("%s: %w", file, err)
}

func (p *Plan) validate() error {
	switch {
	case p.Name == "":
		return errors.New("name: missing")
	case p.Service == "":
		return errors.New("service: missing")
	case p.Duration <= 0:
		return errors.New("duration: must be more than 0")
	case p.DrainTimeout <= 0:
		return errors.New("drain: must be more than 0")
	}
	for i, q := range p.Quick {
		if err := q.validate(); err != nil {
			return fmt.Errorf("quick[%d].%w", i, err)
		}
		// An answer can arrive up to answerGrace after the deadline; a shorter drain would
		// count it as lost.
		if p.DrainTimeout < q.Deadline+Duration(answerGrace) {
			return fmt.Errorf("drain: must be at least the deadline of quick[%d] and %s", i, answerGrace)
		}
	}
	for i, j := range p.Jobs {
		if err := j.validate(); err != nil {
			return fmt.Errorf("job[%d].%w", i, err)
		}
	}
	for i, b := range p.Bursts {
		if b.Kind != KindQuick && b.Kind != KindJob {
			return fmt.Errorf(`burst[%d].kind: must be "quick" or "job"`, i)
		}
		if b.Factor < 1 {
			return fmt.Errorf("burst[%d].factor: must be at least 1", i)
		}
	}
	for i, w := range p.BulkCancellations {
		if !isFraction(w.Share) {
			return fmt.Errorf("cancel_wave[%d].share: must be from 0 to 1", i)
		}
	}
	return nil
}

func (q *QuickLoad) validate() error {
	switch {
	case q.Account == "":
		return errors.New("account: missing")
	case q.Class == "":
		return errors.New("class: missing")
	case q.Rate <= 0:
		return errors.New("rate: must be more than 0")
	case q.Deadline <= 0:
		return errors.New("deadline: must be more than 0")
	case !isFraction(q.ResendShare):
		return errors.New("resent: must be from 0 to 1")
	}
	return q.ServiceTime.validate("work")
}

func (j *JobLoad) validate() error {
	switch {
	case j.Account == "":
		return errors.New("account: missing")
	case j.Class == "":
		return errors.New("class: missing")
	case j.Rate <= 0:
		return errors.New("rate: must be more than 0")
	case len(j.Sizes) == 0:
		return errors.New("sizes: missing")
	case j.EstimateErrorFactor != 0 && j.EstimateErrorFactor < 1:
		return errors.New("misdeclared: must be 0, or at least 1")
	case !isFraction(j.FailureShare):
		return errors.New("failing: must be from 0 to 1")
	case !isFraction(j.ResendShare):
		return errors.New("resent: must be from 0 to 1")
	}
	for i, s := range j.Sizes {
		if err := s.validate(); err != nil {
			return fmt.Errorf("sizes[%d].%w", i, err)
		}
	}
	return j.RunTime.validate("run")
}

func (s *GangSize) validate() error {
	switch {
	case s.Accelerators < 1:
		return errors.New("accelerators: must be at least 1")
	case s.Weight <= 0:
		return errors.New("weight: must be more than 0")
	case s.Adjacency != "" && !s.Adjacency.Valid():
		return errors.New("adjacency: must be one of " + adjacencyNames)
	}
	return nil
}

const adjacencyNames = string(api.AdjacentWorker + ", " + api.AdjacentRack + ", " + api.AdjacentZone + ", " + api.AdjacentAny)

func (l *LogNormal) validate(key string) error {
	switch {
	case l.Median <= 0:
		return errors.New(key + ".median: must be more than 0")
	case l.Sigma < 0:
		return errors.New(key + ".sigma: must not be negative")
	case l.Max < l.Median:
		return errors.New(key + ".max: must be at least the median")
	}
	return nil
}

func isFraction(v float64) bool {
	return v >= 0 && v <= 1
}
