package lease

import "encoding/json"

const (
	keyPrefix     = "duty/"
	sessionPrefix = "session/"
)

func holderKey(duty string) string           { return keyPrefix + duty + "/holder" }
func epochKey(duty string) string            { return keyPrefix + duty + "/epoch" }
func dutyPrefix(domain string) string        { return keyPrefix + domain + "/" }
func sessionKey(domain, lease string) string { return sessionPrefix + domain + "/" + lease }

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
