package schema

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// describeFailure formats a failed validation: the value, unless it is secret, and the
// accepted values.
func describeFailure(fe validator.FieldError, keys []Key, path string) string {
	k, _ := findKey(keys, path)
	accepted := k.Range()
	if strings.HasSuffix(path, "]") {
		accepted = k.ElementRange
	}
	if fe.Tag() == "required" {
		return strings.TrimSuffix("is required: "+accepted, ": ")
	}
	if fe.Kind() == reflect.Slice {
		return fmt.Sprintf("got %d, want %s", reflect.ValueOf(fe.Value()).Len(), accepted)
	}
	if k.IsSecret {
		return "want " + accepted
	}
	if fe.Kind() == reflect.String {
		return fmt.Sprintf("got %q, want %s", fe.Value(), accepted)
	}
	return fmt.Sprintf("got %v, want %s", fe.Value(), accepted)
}
