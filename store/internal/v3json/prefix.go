package v3json

// PrefixEnd returns the end of the range of all keys that begin with prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	// The prefix consists of 0xff bytes only. One zero byte means "all keys from Key
	// on".
	return []byte{0}
}
