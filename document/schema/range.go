package schema

import (
	"reflect"
	"strings"
)

// describeRanges words the validate tag of f for an operator: the value, or the
// length of a list, and of a list of plain values what each element may be.
func describeRanges(f reflect.StructField) (whole, each string) {
	list, element, dives := strings.Cut(f.Tag.Get("validate"), ",dive,")
	if !dives {
		list, element, dives = strings.Cut(f.Tag.Get("validate"), "dive,")
	}
	whole = describeRules(parseRules(list), unitOf(f))
	if dives {
		each = describeRules(parseRules(element), unitOfType(f.Type.Elem()))
	}
	return whole, each
}

func describeRules(rules map[string]string, unit string) string {
	for rule, words := range ruleDescriptions {
		if _, ok := rules[rule]; ok {
			return words
		}
	}
	if choices, ok := rules["oneof"]; ok {
		return `one of "` + strings.Join(strings.Fields(choices), `", "`) + `"`
	}
	words := describeBounds(rules["min"], rules["max"])
	if words == "" || unit == "" {
		return words
	}
	return words + " " + unit
}

func parseRules(tag string) map[string]string {
	rules := map[string]string{}
	for rule := range strings.SplitSeq(tag, ",") {
		name, param, _ := strings.Cut(rule, "=")
		rules[name] = param
	}
	return rules
}

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

func unitOf(f reflect.StructField) string {
	if unit := f.Tag.Get("unit"); unit != "" {
		return unit
	}
	return unitOfType(f.Type)
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
