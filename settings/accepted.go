package settings

// Accepted returns AcceptedKeys as the transport takes them.
func (e Entry) Accepted() [][]byte { return keys(e.AcceptedKeys) }

// Accepted returns AcceptedKeys as the transport takes them.
func (a Agent) Accepted() [][]byte { return keys(a.AcceptedKeys) }

func keys(texts []string) [][]byte {
	out := make([][]byte, 0, len(texts))
	for _, t := range texts {
		out = append(out, []byte(t))
	}
	return out
}
