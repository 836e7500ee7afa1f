package store

const (
	// maxSwapsPerCall is how many swaps one call carries. The service allows 128
	// operations and counts the one inside a nested transaction against what
	// the outer transaction leaves, so one is kept back for it.
	maxSwapsPerCall = 127
	// maxCallBytes bounds keys and values of one call.
	maxCallBytes = 1 << 20
	// swapOverheadBytes is a generous count of a swap's other bytes.
	swapOverheadBytes = 64
)

// size is what the swap adds to a call. The key is sent three times.
func (s Swap) size() int { return 3*len(s.Key) + len(s.Value) + swapOverheadBytes }

// chunk is a run of consecutive swaps that fit into one call.
type chunk struct{ from, to int }

// splitIntoCalls cuts swaps into calls, in order. A key occurs once in a call: the
// service refuses to write a key twice in one transaction.
func splitIntoCalls(swaps []Swap) ([]chunk, error) {
	var chunks []chunk
	from, bytes := 0, 0
	keys := make(map[string]struct{}, len(swaps))
	for i, s := range swaps {
		if s.size() > maxCallBytes {
			return nil, ErrTooLarge
		}
		_, duplicate := keys[s.Key]
		if duplicate || i-from == maxSwapsPerCall || bytes+s.size() > maxCallBytes {
			chunks = append(chunks, chunk{from, i})
			from, bytes = i, 0
			clear(keys)
		}
		keys[s.Key] = struct{}{}
		bytes += s.size()
	}
	if from < len(swaps) {
		chunks = append(chunks, chunk{from, len(swaps)})
	}
	return chunks, nil
}
