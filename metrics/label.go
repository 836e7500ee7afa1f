package metrics

import "strings"

// mostLabels bounds the labels of one metric, which come from callers' accounts and queues;
// labels beyond it share Other.
const mostLabels = 200

// bounded returns the label under which a metric with these labels counts another.
func bounded[T any](labels map[string]T, label string) string {
	if _, known := labels[label]; !known && len(labels) >= mostLabels {
		return OtherLabel
	}
	return label
}

// quoted returns a label as the text format writes it.
func quoted(label string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(label) + `"`
}
