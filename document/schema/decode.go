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
func (f *Result) AddProblem(path, format string, args ...any) {
	if f.undecodable || f.hasProblem(path) {
		return
	}
	f.Problems = append(f.Problems, Problem{
		File:   f.FileName,
		Line:   f.Index.Line(path),
		Key:    path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// Decode reads data into a T and fills in the defaults. The T is filled as far
// as possible, so that Validate and the caller's own checks can report
// everything at once; it is usable only where File holds no problems then.
func Decode[T any](name string, data []byte) (T, *Result) {
	var into T
	f := &Result{FileName: name, Index: newIndex(data)}
	if !f.decode(data, &into) {
		f.undecodable = true
		return into, f
	}
	fillDefaults(reflect.ValueOf(&into).Elem(), "", f.Index)
	return into, f
}

// Validate checks the ranges of from, a pointer to what Decode returned. After
// a syntax error it adds nothing.
func (f *Result) Validate(from any) {
	var failed validator.ValidationErrors
	if f.undecodable || !errors.As(validate.Struct(from), &failed) {
		return
	}
	keys := collectKeys(reflect.TypeOf(from).Elem(), "", nil)
	for _, fe := range failed {
		path := keyPath(fe)
		f.AddProblem(path, "%s", describeFailure(fe, keys, path))
	}
}

// hasProblem is true where a problem of the same key, or of a table that holds
// it, stands already.
func (f *Result) hasProblem(path string) bool {
	for _, p := range f.Problems {
		inside := strings.HasPrefix(path, p.Key+".") || strings.HasPrefix(path, p.Key+"[")
		if p.Key != "" && (p.Key == path || inside) {
			return true
		}
	}
	return false
}
