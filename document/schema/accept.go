package schema

import (
	"reflect"
	"strings"
)

// accepts words the validate tag of f for an operator.
func accepts(f reflect.StructField) string {
	rules := rulesOf(f)
	for rule, words := range customRules {
		if _, ok := rules[rule]; ok {
			return words
		}
	}
	if choices, ok := rules["oneof"]; ok {
		return `one of "` + strings.Join(strings.Fields(choices), `", "`) + `"`
	}
	words := span(rules["min"], rules["max"])
	if words == "" {
		return ""
	}
	if unit := unitOf(f); unit != "" {
		words += " " + unit
	}
	return words
}

// rulesOf splits the validate tag up to dive: what follows holds for the
// elements of a list.
func rulesOf(f reflect.StructField) map[string]string {
	rules := map[string]string{}
	for rule := range strings.SplitSeq(f.Tag.Get("validate"), ",") {
		name, param, _ := strings.Cut(rule, "=")
		if name == "dive" {
			continue
		}
		if _, ok := rules[name]; !ok {
			rules[name] = param
		}
	}
	return rules
}

func span(low, high string) string {
	switch {
	case low != "" && high != "":
		return low + " to " + high
	case low != "":
		return "at least " + low
	case high != "":
		return "at most " + high
	}
	return ""
}

func unitOf(f reflect.StructField) string {
	if unit := f.Tag.Get("unit"); unit != "" {
		return unit
	}
	switch {
	case f.Type.Kind() == reflect.String:
		return "characters"
	case f.Type.Kind() == reflect.Slice:
		return "entries"
	}
	return ""
}
