package schema

import (
	"bytes"
	"errors"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxTypeErrors bounds the passes over a file with values of a wrong type;
// each pass finds one.
const maxTypeErrors = 32

// decode returns false where the syntax is broken, so that nothing else can
// be said about the file.
func (f *Result) decode(data []byte, into any) bool {
	keys := collectKeys(reflect.TypeOf(into).Elem(), "", nil)
	data = f.rejectBareDurations(data, keys)
	for range maxTypeErrors {
		reflect.ValueOf(into).Elem().SetZero()
		dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
		err := dec.Decode(into)
		var strict *toml.StrictMissingError
		var broken *toml.DecodeError
		switch {
		case err == nil:
			return true
		case errors.As(err, &strict):
			f.addUnknownKeys(data, strict)
			return true
		case !errors.As(err, &broken):
			f.Problems = append(f.Problems, Problem{File: f.FileName, Reason: err.Error()})
			return false
		}
		rest, ok := f.addTypeError(data, broken, keys)
		if !ok {
			return false
		}
		data = rest
	}
	return true
}

func (f *Result) addUnknownKeys(data []byte, strict *toml.StrictMissingError) {
	for _, e := range strict.Errors {
		line, col := e.Position()
		path := strings.Join(e.Key(), ".")
		if at, ok := f.Index.entryAt(byteOffset(data, line, col)); ok {
			path = at.path
		}
		f.Problems = append(f.Problems, Problem{File: f.FileName, Line: line, Key: path, Reason: "unknown key"})
	}
}

// addTypeError notes the error and returns data without the expression that
// caused it, so that the next pass finds the next error. It returns false
// where no single value is to blame, such as for a key set twice.
func (f *Result) addTypeError(data []byte, broken *toml.DecodeError, keys []Key) ([]byte, bool) {
	line, col := broken.Position()
	offset := byteOffset(data, line, col)
	at, ok := f.Index.entryAt(offset)
	if f.Index.syntaxErr != nil || !ok || at.offset == offset || offset >= at.end {
		f.Problems = append(f.Problems, Problem{
			File:   f.FileName,
			Line:   line,
			Key:    at.path,
			Reason: strings.TrimPrefix(broken.Error(), "toml: "),
		})
		return nil, false
	}
	f.AddProblem(at.path, "wrong type, want %s", describeExpected(keys, at.path))
	return blankRange(data, at.start, at.end), true
}

// rejectBareDurations notes durations that are not text. The decoder names no
// line for them, so that they are looked for before it runs.
func (f *Result) rejectBareDurations(data []byte, keys []Key) []byte {
	for _, e := range f.Index.entries {
		k, ok := findKey(keys, e.path)
		if !ok || !k.isDuration || e.value == unstable.String {
			continue
		}
		f.AddProblem(e.path, "wrong type, want %s", describeExpected(keys, e.path))
		data = blankRange(data, e.start, e.end)
	}
	return data
}

// blankRange returns a copy of data with spaces from start to end; line ends stay.
func blankRange(data []byte, start, end int) []byte {
	rest := bytes.Clone(data)
	for i := start; i < end; i++ {
		if rest[i] != '\n' {
			rest[i] = ' '
		}
	}
	return rest
}

func describeExpected(keys []Key, path string) string {
	k, ok := findKey(keys, path)
	if !ok {
		return "another type"
	}
	accepts := k.Range()
	switch {
	case accepts == "":
		return k.Type
	case strings.HasPrefix(accepts, "one of"):
		return k.Type + " " + accepts
	}
	return k.Type + ", " + accepts
}

func findKey(keys []Key, path string) (Key, bool) {
	path = stripIndexes(path)
	for _, k := range keys {
		if k.Path == path {
			return k, true
		}
	}
	return Key{}, false
}

func byteOffset(data []byte, line, col int) int {
	offset := 0
	for range line - 1 {
		next := bytes.IndexByte(data[offset:], '\n')
		if next < 0 {
			break
		}
		offset += next + 1
	}
	return offset + col - 1
}
