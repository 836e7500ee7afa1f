package schema

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
)

// fillDefaults sets every field whose key the file does not set to the value of its
// default tag. Keys that the file sets to zero or false are kept.
func fillDefaults(v reflect.Value, prefix string, index *Index) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := tomlName(field)
		if name == "" {
			continue
		}
		if field.Anonymous {
			fillDefaults(v.Field(i), prefix, index)
			continue
		}
		fillField(v.Field(i), field, joinPath(prefix, name), index)
	}
}

// fillField fills in one key, unless its default is derived from another key.
func fillField(v reflect.Value, field reflect.StructField, path string, index *Index) {
	if tableType(field.Type) != nil {
		fillTables(v, path, index)
		return
	}
	text, ok := field.Tag.Lookup("default")
	if !ok || index.IsSet(path) || field.Tag.Get("derived") != "" {
		return
	}
	setFromText(v, text)
}

func fillTables(v reflect.Value, path string, index *Index) {
	switch v.Kind() {
	case reflect.Struct:
		fillDefaults(v, path, index)
	case reflect.Pointer:
		if !v.IsNil() {
			fillTables(v.Elem(), path, index)
		}
	case reflect.Slice:
		for i := range v.Len() {
			fillTables(v.Index(i), fmt.Sprintf("%s[%d]", path, i), index)
		}
	}
}

// setFromText parses a default tag into v. It panics on an invalid tag, which is a
// programming error.
func setFromText(v reflect.Value, text string) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		must(u.UnmarshalText([]byte(text)))
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		must(err)
		v.SetBool(b)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		must(err)
		v.SetFloat(n)
	default:
		n, err := strconv.ParseInt(text, 10, 64)
		must(err)
		v.SetInt(n)
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
