package schema

import (
	"reflect"
	"regexp"
	"strings"
)

// Key describes one key of a struct type, from its tags.
type Key struct {
	Path         string // without positions in arrays: account.weight
	Type         string // as an operator knows it: integer, text, duration, ...
	Default      string // empty where there is none
	ValueRange   string // accepted values with their unit, empty where any will do
	ElementRange string // the same for each element of a list of plain values
	IsTable      bool   // holds keys of its own
	IsSecret     bool   // the value never appears in a message

	isDuration bool
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// stripIndexes strips the positions in arrays from a path.
func stripIndexes(path string) string {
	return indexPattern.ReplaceAllString(path, "")
}

// Range words what the key accepts, with the elements of a list.
func (k Key) Range() string {
	switch {
	case k.ElementRange == "":
		return k.ValueRange
	case k.ValueRange == "":
		return "each " + k.ElementRange
	}
	return k.ValueRange + ", each " + k.ElementRange
}

// Keys lists the keys of struct type T and of the tables below it.
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

// tableType returns the struct type behind a table or an array of tables, nil
// for a plain value.
func tableType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == durationType {
		return nil
	}
	return t
}

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
