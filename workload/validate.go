package workload

import "fmt"

// Limits that Validate enforces. They bound the cost of one job to a planner.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 256
	MaxTasks       = 10_000
	MaxOccurrences = 1_000_000
)

// FieldError reports an invalid field of a job and the reason.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Validate returns a *FieldError if the job can't be accepted.
func (j *Job) Validate() error {
	if len(j.Spec) > MaxSpecBytes {
		return &FieldError{"spec", fmt.Sprintf("has %d bytes, at most %d are accepted", len(j.Spec), MaxSpecBytes)}
	}
	if len(j.Steps) == 0 {
		return &FieldError{"steps", "is empty"}
	}
	if len(j.Steps) > MaxSteps {
		return &FieldError{"steps", fmt.Sprintf("has %d entries, at most %d are accepted", len(j.Steps), MaxSteps)}
	}
	if err := j.Schedule.validate(); err != nil {
		return err
	}
	return j.validateSteps()
}

func (j *Job) validateSteps() error {
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > MaxTasks {
		return &FieldError{"steps", fmt.Sprintf("have %d tasks, at most %d are accepted", tasks, MaxTasks)}
	}
	return nil
}

func (s *Step) validate(index int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", index, name) }
	if s.Count < 1 || s.Count > MaxTasks {
		return &FieldError{field("count"), fmt.Sprintf("is %d, must be 1 to %d", s.Count, MaxTasks)}
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return &FieldError{field("need"), "is negative"}
	}
	if s.MaxPerWorker < 0 || s.Estimate < 0 || s.MaxUnavailable < 0 {
		return &FieldError{field("limits"), "are negative"}
	}
	for _, dep := range s.DependsOn {
		if dep < 0 || dep >= index {
			return &FieldError{field("after"), fmt.Sprintf("names step %d, must name earlier steps", dep)}
		}
	}
	return nil
}

func (s *Schedule) validate() error {
	if s.Count < 0 || s.Count > MaxOccurrences {
		return &FieldError{"schedule.count", fmt.Sprintf("is %d, must be 0 to %d", s.Count, MaxOccurrences)}
	}
	if s.Count > 0 && s.Period < 0 {
		return &FieldError{"schedule.period", "is negative"}
	}
	return nil
}
