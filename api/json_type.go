package api

import "reflect"

// describeJSONType describes the JSON that a caller must send for a value of type t.
func describeJSONType(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a duration such as "10m"`
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describeJSONType(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}
