package settings

// AcceptedKeyBytes returns AcceptedKeys as the transport takes them.
func (e Entry) AcceptedKeyBytes() [][]byte { return keys(e.AcceptedKeys) }

// AcceptedKeyBytes returns AcceptedKeys as the transport takes them.
func (a Agent) AcceptedKeyBytes() [][]byte { return keys(a.AcceptedKeys) }

func keys(texts []string) [][]byte {
	out := make([][]byte, 0, len(texts))
	for _, t := range texts {
		out = append(out, []byte(t))
	}
	return out
}
