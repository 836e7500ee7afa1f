package schema

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
)

// fillDefaults sets every field that the file leaves out to the value of its
// default tag. A key that the file sets to zero or false keeps that value.
func fillDefaults(v reflect.Value, prefix string, x *Index) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := tomlName(f)
		if name == "" {
			continue
		}
		if f.Anonymous {
			fillDefaults(v.Field(i), prefix, x)
			continue
		}
		fillField(v.Field(i), f, joinPath(prefix, name), x)
	}
}

func fillField(v reflect.Value, f reflect.StructField, path string, x *Index) {
	if tableType(f.Type) != nil {
		fillTables(v, path, x)
		return
	}
	text, ok := f.Tag.Lookup("default")
	if !ok || x.IsSet(path) || f.Tag.Get("derived") != "" {
		return
	}
	setFromText(v, text)
}

func fillTables(v reflect.Value, path string, x *Index) {
	switch v.Kind() {
	case reflect.Struct:
		fillDefaults(v, path, x)
	case reflect.Pointer:
		if !v.IsNil() {
			fillTables(v.Elem(), path, x)
		}
	case reflect.Slice:
		for i := range v.Len() {
			fillTables(v.Index(i), fmt.Sprintf("%s[%d]", path, i), x)
		}
	}
}

// setFromText parses a default tag. A tag that does not parse is a broken
// invariant of the program.
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
