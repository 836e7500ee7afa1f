package wire

import "github.com/fxamacker/cbor/v2"

// Limits for decoded payloads. They guard against faulty peers, not against attackers:
// a peer has proved that it holds the cluster key.
const (
	maxNestedLevels  = 16
	maxArrayElements = 32768
	maxMapPairs      = 1024
)

var (
	encoder = mustEncMode()
	decoder = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
