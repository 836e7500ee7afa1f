package schema

import (
	"bytes"
	"errors"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxTypeErrors limits the number of passes over a file. Each pass finds one value of a
// wrong type.
const maxTypeErrors = 32

// decode returns false if the file cannot be decoded at all, for example because of a
// syntax error.
func (r *Result) decode(data []byte, value any) bool {
	keys := collectKeys(reflect.TypeOf(value).Elem(), "", nil)
	data = r.rejectBareDurations(data, keys)
	for range maxTypeErrors {
		reflect.ValueOf(value).Elem().SetZero()
		dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
		err := dec.Decode(value)
		var unknownKeys *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		switch {
		case err == nil:
			return true
		case errors.As(err, &unknownKeys):
			r.addUnknownKeys(data, unknownKeys)
			return true
		case !errors.As(err, &decodeErr):
			r.Problems = append(r.Problems, Problem{File: r.FileName, Reason: err.Error()})
			return false
		}
		blanked, ok := r.addTypeError(data, decodeErr, keys)
		if !ok {
			return false
		}
		data = blanked
	}
	return true
}

func (r *Result) addUnknownKeys(data []byte, unknownKeys *toml.StrictMissingError) {
	for _, e := range unknownKeys.Errors {
		line, col := e.Position()
		path := strings.Join(e.Key(), ".")
		if entry, ok := r.Index.entryAt(byteOffset(data, line, col)); ok {
			path = entry.path
		}
		r.Problems = append(r.Problems, Problem{File: r.FileName, Line: line, Key: path, Reason: "unknown key"})
	}
}

// addTypeError reports the error and returns data without the expression that caused it,
// so that the next pass finds the next error. It returns false if no single value caused
// it, as with a duplicate key.
func (r *Result) addTypeError(data []byte, decodeErr *toml.DecodeError, keys []Key) ([]byte, bool) {
	line, col := decodeErr.Position()
	offset := byteOffset(data, line, col)
	entry, ok := r.Index.entryAt(offset)
	if r.Index.syntaxErr != nil || !ok || entry.offset == offset || offset >= entry.end {
		r.Problems = append(r.Problems, Problem{
			File:   r.FileName,
			Line:   line,
			Key:    entry.path,
			Reason: strings.TrimPrefix(decodeErr.Error(), "toml: "),
		})
		return nil, false
	}
	r.AddProblem(entry.path, "wrong type, want %s", describeExpected(keys, entry.path))
	return blankRange(data, entry.start, entry.end), true
}

// rejectBareDurations reports durations that are not text and blanks them. It runs before
// the decoder, whose errors for them have no line.
func (r *Result) rejectBareDurations(data []byte, keys []Key) []byte {
	for _, e := range r.Index.entries {
		k, ok := findKey(keys, e.path)
		if !ok || !k.isDuration || e.value == unstable.String {
			continue
		}
		r.AddProblem(e.path, "wrong type, want %s", describeExpected(keys, e.path))
		data = blankRange(data, e.start, e.end)
	}
	return data
}

// blankRange returns a copy of data with spaces from start to end, keeping line breaks.
func blankRange(data []byte, start, end int) []byte {
	blanked := bytes.Clone(data)
	for i := start; i < end; i++ {
		if blanked[i] != '\n' {
			blanked[i] = ' '
		}
	}
	return blanked
}

// describeExpected describes the type and the accepted values of a key.
func describeExpected(keys []Key, path string) string {
	k, ok := findKey(keys, path)
	if !ok {
		return "another type"
	}
	accepted := k.Range()
	switch {
	case accepted == "":
		return k.Type
	case strings.HasPrefix(accepted, "one of"):
		return k.Type + " " + accepted
	}
	return k.Type + ", " + accepted
}

// findKey returns the key at path, which may contain array indexes.
func findKey(keys []Key, path string) (Key, bool) {
	path = stripIndexes(path)
	for _, k := range keys {
		if k.Path == path {
			return k, true
		}
	}
	return Key{}, false
}

// byteOffset converts a position, whose line and column start at 1, to an offset in data.
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
