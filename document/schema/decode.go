package schema

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Result is the outcome of reading one file.
type Result struct {
	FileName    string
	Index       *Index
	Problems    Problems
	undecodable bool // nothing could be decoded
}

// AddProblem notes a problem of the key at path, at the line that sets it. Where a
// problem of the same key stands already, it adds nothing: a value that was
// not decoded, or is out of range, says nothing in a later check.
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

// Decode reads data into a T and fills in the defaults. The T is filled as far
// as possible, so that Validate and the caller's own checks can report
// everything at once; it is usable only where File holds no problems then.
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

// Validate checks the ranges of from, a pointer to what Decode returned. After
// a syntax error it adds nothing.
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

// hasProblem is true where a problem of the same key, or of a table that holds
// it, stands already.
func (r *Result) hasProblem(path string) bool {
	for _, p := range r.Problems {
		isChild := strings.HasPrefix(path, p.Key+".") || strings.HasPrefix(path, p.Key+"[")
		if p.Key != "" && (p.Key == path || isChild) {
			return true
		}
	}
	return false
}
