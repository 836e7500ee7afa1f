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
	// A prefix without end: the API writes "from the key on" as one zero byte.
	return []byte{0}
}
