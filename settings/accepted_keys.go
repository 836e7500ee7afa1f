package settings

// AcceptedKeyBytes returns AcceptedKeys as byte slices.
func (e Entry) AcceptedKeyBytes() [][]byte { return toByteSlices(e.AcceptedKeys) }

// AcceptedKeyBytes returns AcceptedKeys as byte slices.
func (a Agent) AcceptedKeyBytes() [][]byte { return toByteSlices(a.AcceptedKeys) }

func toByteSlices(texts []string) [][]byte {
	out := make([][]byte, 0, len(texts))
	for _, t := range texts {
		out = append(out, []byte(t))
	}
	return out
}
