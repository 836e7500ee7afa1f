package target

import "errors"

var (
	// ErrNotSent: no byte of the request left this process, so it did not run.
	ErrNotSent = errors.New("target: request was not sent")
	// ErrRefused: the target said that it did not run the request and won't.
	ErrRefused = errors.New("target: request was refused")
	// ErrOutcomeUnknown: the request may have run, or may still run.
	ErrOutcomeUnknown = errors.New("target: outcome is not known")
	// ErrTooLarge: the answer exceeds its bound. It comes with ErrOutcomeUnknown.
	ErrTooLarge = errors.New("target: answer is too large")
	// ErrUnknownTask: the worker has no record of the task.
	ErrUnknownTask = errors.New("target: no such task")
	// ErrConflict: the task's id, an accelerator or an epoch is taken by other work.
	ErrConflict = errors.New("target: conflict")
)
