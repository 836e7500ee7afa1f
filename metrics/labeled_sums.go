package metrics

// LabeledSums holds sums of amounts by label. It is safe for concurrent use; the zero
// value is empty.
type LabeledSums struct{ labeledValues }

// Add adds amount to the sum of label. Labels beyond maxLabels share OtherLabel.
func (s *LabeledSums) Add(label string, amount float64) {
	s.update(func(sums map[string]float64) { sums[boundedLabel(sums, label)] += amount })
}
