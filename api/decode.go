package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Decode decodes one JSON value of at most limit bytes into v. The Problem names the field
// and the reason. Unknown fields are rejected, since ignoring a misspelt "repeatable"
// would change how the work is treated.
func Decode(r io.Reader, limit int64, v any) *Problem {
	text, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return NewInvalidProblem("body", "cut short: "+err.Error())
	}
	if int64(len(text)) > limit {
		return &Problem{Reason: ReasonTooLarge, Field: "body",
			Detail: "longer than " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeProblem(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return NewInvalidProblem("body", "more than one JSON value")
	}
	return nil
}

func decodeProblem(err error) *Problem {
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		return NewInvalidProblem(fieldOrBody(mistyped.Field), "must be "+describeJSONType(mistyped.Type)+", not "+mistyped.Value)
	}
	// encoding/json has no error type for an unknown field.
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return NewInvalidProblem(fieldOrBody(strings.Trim(name, `"`)), "no such field")
	}
	return NewInvalidProblem("body", err.Error())
}

// fieldOrBody returns field, or "body" if it is empty.
func fieldOrBody(field string) string {
	if field == "" {
		return "body"
	}
	return field
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		NewProblem(ReasonInternal, "answer can't be encoded").WriteResponse(w)
		return
	}
	w.Header().Set("Content-Type", ContentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
