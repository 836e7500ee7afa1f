package schema

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

func reason(fe validator.FieldError, keys []Key, path string) string {
	k, _ := lookup(keys, path)
	if fe.Tag() == "required" {
		return strings.TrimSuffix("is required: "+k.Accepts, ": ")
	}
	if fe.Kind() == reflect.Slice {
		return fmt.Sprintf("got %d, want %s", reflect.ValueOf(fe.Value()).Len(), k.Accepts)
	}
	if fe.Kind() == reflect.String && !k.secret() {
		return fmt.Sprintf("got %q, want %s", fe.Value(), k.Accepts)
	}
	if k.secret() {
		return "want " + k.Accepts
	}
	return fmt.Sprintf("got %v, want %s", fe.Value(), k.Accepts)
}

// secret is true for keys whose value must not appear in a message.
func (k Key) secret() bool {
	return strings.HasSuffix(k.Path, "cluster_key")
}
