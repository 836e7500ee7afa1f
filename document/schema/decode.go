package schema

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Result is the outcome of decoding one file.
type Result struct {
	FileName    string
	Index       *Index
	Problems    Problems
	undecodable bool // the syntax is invalid; no further problems are added
}

// AddProblem reports a problem of the key at path, on the line that sets it. If the key or
// a table that contains it already has a problem, it does nothing, since later checks of a
// value that was not decoded are meaningless.
func (r *Result) AddProblem(path, format string, args ...any) {
	if r.undecodable || r.hasProblem(path) {
		return
	}
	r.Problems = append(r.Problems, Problem{
		File:   r.FileName,
		Line:   r.Index.Line(path),
		Key:    path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// Decode decodes data into a T and fills in the defaults. Where there are problems, T is
// filled as far as possible, so that Validate and the caller's checks can report further
// ones; its value must not be used then.
func Decode[T any](name string, data []byte) (T, *Result) {
	var value T
	result := &Result{FileName: name, Index: newIndex(data)}
	if !result.decode(data, &value) {
		result.undecodable = true
		return value, result
	}
	fillDefaults(reflect.ValueOf(&value).Elem(), "", result.Index)
	return value, result
}

// Validate checks the tags of value, a pointer to the result of Decode. It does nothing
// after a syntax error.
func (r *Result) Validate(value any) {
	var failed validator.ValidationErrors
	if r.undecodable || !errors.As(validate.Struct(value), &failed) {
		return
	}
	keys := collectKeys(reflect.TypeOf(value).Elem(), "", nil)
	for _, fe := range failed {
		path := keyPath(fe)
		r.AddProblem(path, "%s", describeFailure(fe, keys, path))
	}
}

// hasProblem reports whether a problem of the key, or of a table that contains it, was
// already added.
func (r *Result) hasProblem(path string) bool {
	for _, p := range r.Problems {
		isChild := strings.HasPrefix(path, p.Key+".") || strings.HasPrefix(path, p.Key+"[")
		if p.Key != "" && (p.Key == path || isChild) {
			return true
		}
	}
	return false
}
