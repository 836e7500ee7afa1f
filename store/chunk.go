package store

const (
	// maxSwapsPerCall is the number of swaps in one call. The service allows 128
	// operations and counts the one in a nested transaction against what the outer
	// transaction leaves, so one operation is reserved for it.
	maxSwapsPerCall = 127
	// maxCallBytes limits the total size of the swaps in one call.
	maxCallBytes = 1 << 20
	// swapOverheadBytes is an upper bound for the encoding of a swap besides key and
	// value.
	swapOverheadBytes = 64
)

// size returns the number of bytes that the swap adds to a call. The key is sent three
// times.
func (s Swap) size() int { return 3*len(s.Key) + len(s.Value) + swapOverheadBytes }

// chunk is the half-open index range of the swaps sent in one call.
type chunk struct{ from, to int }

// splitIntoCalls splits swaps into calls, in order. A key occurs at most once in a
// call: the service rejects a transaction that writes a key twice.
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
