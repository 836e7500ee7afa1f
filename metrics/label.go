package metrics

import "strings"

// maxLabels bounds the labels of one metric, which come from callers' accounts and queues;
// labels beyond it share Other.
const maxLabels = 200

// boundedLabel returns the label under which a metric with these labels counts another.
func boundedLabel[T any](labels map[string]T, label string) string {
	if _, known := labels[label]; !known && len(labels) >= maxLabels {
		return OtherLabel
	}
	return label
}

// quoteLabel returns a label as the text format writes it.
func quoteLabel(label string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(label) + `"`
}
