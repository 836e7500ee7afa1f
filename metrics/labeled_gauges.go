package metrics

// LabeledGauges holds current values by label. It is safe for concurrent use; the zero value is
// empty.
type LabeledGauges struct{ labeledValues }

// Set sets the value of label. New labels beyond maxLabels are ignored.
func (g *LabeledGauges) Set(label string, value float64) {
	g.update(func(values map[string]float64) {
		if boundedLabel(values, label) == label {
			values[label] = value
		}
	})
}

// Remove removes a label.
func (g *LabeledGauges) Remove(label string) {
	g.update(func(values map[string]float64) { delete(values, label) })
}

// Clear removes all labels.
func (g *LabeledGauges) Clear() {
	g.update(func(values map[string]float64) { clear(values) })
}
