package schema

import (
	"reflect"
	"regexp"
	"strings"
)

// Key describes one key of a struct type, derived from its tags.
type Key struct {
	Path         string // without array indexes: account.weight
	Type         string // in an operator's terms: integer, text, duration, ...
	Default      string // empty if there is none
	ValueRange   string // accepted values with their unit; empty if all are
	ElementRange string // accepted elements of a list of plain values
	IsTable      bool   // a table or an array of tables
	IsSecret     bool   // the value is omitted from messages

	isDuration bool
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// stripIndexes removes the array indexes from a path.
func stripIndexes(path string) string {
	return indexPattern.ReplaceAllString(path, "")
}

// Range describes the accepted values, including those of list elements.
func (k Key) Range() string {
	switch {
	case k.ElementRange == "":
		return k.ValueRange
	case k.ValueRange == "":
		return "each " + k.ElementRange
	}
	return k.ValueRange + ", each " + k.ElementRange
}

// Keys returns the keys of struct type T and of the tables below it.
func Keys[T any]() []Key {
	return collectKeys(reflect.TypeFor[T](), "", nil)
}

func collectKeys(t reflect.Type, prefix string, keys []Key) []Key {
	for i := range t.NumField() {
		field := t.Field(i)
		name := tomlName(field)
		if name == "" {
			continue
		}
		if field.Anonymous {
			keys = collectKeys(field.Type, prefix, keys)
			continue
		}
		k := newKey(field, joinPath(prefix, name))
		keys = append(keys, k)
		if k.IsTable {
			keys = collectKeys(tableType(field.Type), k.Path, keys)
		}
	}
	return keys
}

func newKey(field reflect.StructField, path string) Key {
	valueRange, elementRange := describeRanges(field)
	return Key{
		Path:         path,
		Type:         typeName(field.Type),
		Default:      field.Tag.Get("default"),
		ValueRange:   valueRange,
		ElementRange: elementRange,
		IsTable:      tableType(field.Type) != nil,
		IsSecret:     field.Tag.Get("secret") == "true",

		isDuration: field.Type == durationType,
	}
}

// tomlName returns the key of a field, or "" if the field has none. For an embedded struct
// it is the type's name.
func tomlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if name == "-" {
		return ""
	}
	if name == "" && field.Anonymous {
		return field.Name
	}
	return name
}

var durationType = reflect.TypeFor[Duration]()

// tableType returns the struct type of a table or an array of tables, or nil for a plain
// value.
func tableType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == durationType {
		return nil
	}
	return t
}

// typeName describes a type in an operator's terms.
func typeName(t reflect.Type) string {
	if t == durationType {
		return `duration such as "250ms" or "4h"`
	}
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.Slice:
		if tableType(t) != nil {
			return "list of tables"
		}
		return "list of " + typeName(t.Elem())
	case reflect.Struct:
		return "table"
	default:
		return "integer"
	}
}
