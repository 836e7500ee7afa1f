package target

import "errors"

var (
	// ErrNotSent means that no byte of the request was sent, so it did not run.
	ErrNotSent = errors.New("target: request was not sent")
	// ErrRefused means that the target has not run the request and will not.
	ErrRefused = errors.New("target: request was refused")
	// ErrOutcomeUnknown means that the request may have run or may still run.
	ErrOutcomeUnknown = errors.New("target: outcome is not known")
	// ErrTooLarge means that the response exceeds MaxResponseBytes. It is wrapped
	// together with ErrOutcomeUnknown.
	ErrTooLarge = errors.New("target: answer is too large")
	// ErrUnknownTask means that the target has no record of the task.
	ErrUnknownTask = errors.New("target: no such task")
	// ErrConflict means that the task's ID or an accelerator is in use by other work, or
	// that the epoch or incarnation is outdated.
	ErrConflict = errors.New("target: conflict")
)
