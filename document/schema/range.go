package schema

import (
	"reflect"
	"strings"
)

// describeRanges describes the validate tag of a field for an operator: the accepted
// values or, for a list, the accepted length and elements.
func describeRanges(field reflect.StructField) (valueRange, elementRange string) {
	listRules, elementRules, hasElements := strings.Cut(field.Tag.Get("validate"), ",dive,")
	if !hasElements {
		listRules, elementRules, hasElements = strings.Cut(field.Tag.Get("validate"), "dive,")
	}
	valueRange = describeRules(parseRules(listRules), unitOf(field))
	if hasElements {
		elementRange = describeRules(parseRules(elementRules), unitOfType(field.Type.Elem()))
	}
	return valueRange, elementRange
}

// describeRules describes the values that the rules accept, or returns "" if they accept
// any.
func describeRules(rules map[string]string, unit string) string {
	for rule, description := range ruleDescriptions {
		if _, ok := rules[rule]; ok {
			return description
		}
	}
	if choices, ok := rules["oneof"]; ok {
		return `one of "` + strings.Join(strings.Fields(choices), `", "`) + `"`
	}
	description := describeBounds(rules["min"], rules["max"])
	if description == "" || unit == "" {
		return description
	}
	return description + " " + unit
}

func parseRules(tag string) map[string]string {
	rules := map[string]string{}
	for rule := range strings.SplitSeq(tag, ",") {
		name, param, _ := strings.Cut(rule, "=")
		rules[name] = param
	}
	return rules
}

// describeBounds describes the range given by the min and max rules, either of which may
// be empty.
func describeBounds(low, high string) string {
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

func unitOf(field reflect.StructField) string {
	if unit := field.Tag.Get("unit"); unit != "" {
		return unit
	}
	return unitOfType(field.Type)
}

func unitOfType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "characters"
	case reflect.Slice:
		return "entries"
	}
	return ""
}
