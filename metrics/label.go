package metrics

import "strings"

// maxLabels is the maximum number of labels of one metric. Labels come from callers'
// accounts and queues, so they could otherwise exhaust the memory; further ones share
// OtherLabel.
const maxLabels = 200

// boundedLabel returns label, or OtherLabel if it is new and labels is full.
func boundedLabel[T any](labels map[string]T, label string) string {
	if _, known := labels[label]; !known && len(labels) >= maxLabels {
		return OtherLabel
	}
	return label
}

// quoteLabel quotes a label for the text format.
func quoteLabel(label string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(label) + `"`
}
