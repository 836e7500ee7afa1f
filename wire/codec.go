package wire

import "github.com/fxamacker/cbor/v2"

// Limits on decoded payloads. A peer has proved that it holds the cluster key,
// so they guard against faults, not against attackers.
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
