package movingstats

// Stats is a mean and a variance in which older samples lose weight. The zero value has no samples.
type Stats struct {
	Count          float64
	Mean, Variance float64
}

// Add adds a sample, given by its deviation from Mean. Its weight is that in an unweighted mean, but at
// least minWeight.
func (s *Stats) Add(deviation, minWeight float64) {
	s.Count++
	weight := max(minWeight, 1/s.Count)
	s.Mean += weight * deviation
	s.Variance = (1 - weight) * (s.Variance + weight*deviation*deviation)
}

// VarianceWithPrior returns the variance combined with a prior variance that counts as count samples.
func (s *Stats) VarianceWithPrior(variance, count float64) float64 {
	return (s.Variance*s.Count + variance*count) / (s.Count + count)
}
