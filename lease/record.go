package lease

import "encoding/json"

const (
	electionKeyPrefix = "duty/"
	sessionKeyPrefix  = "session/"
)

// EpochKey returns the key that holds an election's last epoch. Its revision changes
// whenever another candidate takes over, so a write conditional on the revision can't
// come from a leader that was replaced.
func EpochKey(election string) string { return epochKey(election) }

// ParseEpoch returns the epoch in a value of EpochKey.
func ParseEpoch(value []byte) (uint64, error) {
	epoch, _, err := ParseEpochSeries(value)
	return epoch, err
}

// ParseEpochSeries returns the epoch in a value of EpochKey, and the first one of an unbroken series up to it
// whose candidates all state the series: none was of an earlier version. since is 0 if the epoch's does not.
func ParseEpochSeries(value []byte) (epoch, since uint64, err error) {
	var r record
	err = json.Unmarshal(value, &r)
	return r.Epoch, r.Since, err
}

func holderKey(election string) string       { return electionKeyPrefix + election + "/holder" }
func epochKey(election string) string        { return electionKeyPrefix + election + "/epoch" }
func electionPrefix(domain string) string    { return electionKeyPrefix + domain + "/" }
func sessionKey(domain, lease string) string { return sessionKeyPrefix + domain + "/" + lease }

// record is the value of all keys. Token makes each value unique, so that a write whose
// reply was lost can be recognized.
type record struct {
	Instance string `json:"instance"`
	Token    string `json:"token"`
	Epoch    uint64 `json:"epoch,omitempty"`
	Since    uint64 `json:"since,omitempty"` // see ParseEpochSeries
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("lease: encode record: " + err.Error())
	}
	return b
}
