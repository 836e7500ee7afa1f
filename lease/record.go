package lease

import "encoding/json"

const (
	electionKeyPrefix = "duty/"
	sessionKeyPrefix  = "session/"
)

// EpochKey returns the key that holds a duty's last epoch. Its revision is the same
// for as long as nobody else has taken the duty, so a write on the condition of that
// revision can't come from a holder that was replaced.
func EpochKey(duty string) string { return epochKey(duty) }

// ParseEpoch returns the epoch that the value of EpochKey holds.
func ParseEpoch(value []byte) (uint64, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r.Epoch, err
}

func holderKey(duty string) string           { return electionKeyPrefix + duty + "/holder" }
func epochKey(duty string) string            { return electionKeyPrefix + duty + "/epoch" }
func electionPrefix(domain string) string    { return electionKeyPrefix + domain + "/" }
func sessionKey(domain, lease string) string { return sessionKeyPrefix + domain + "/" + lease }

// record is the value of all keys. Token makes each value unique, so that a
// write whose reply was lost can be recognised.
type record struct {
	Instance string `json:"instance"`
	Token    string `json:"token"`
	Epoch    uint64 `json:"epoch,omitempty"`
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("lease: record of plain fields not encodable: " + err.Error())
	}
	return b
}
