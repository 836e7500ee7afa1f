package document

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// StoreKeyPrefix is the prefix of the store keys of documents; the service's name follows.
const StoreKeyPrefix = "documents/"

// StoreKey returns the store key of a service's document.
func StoreKey(service string) string {
	return StoreKeyPrefix + service
}

// Version is one numbered version of a service's document, as it is stored and exchanged
// between processes. TOML must not be modified.
type Version struct {
	Service    string    `cbor:"1,keyasint"`
	Generation uint64    `cbor:"2,keyasint"` // starts at 1 and increases with each put
	Token      string    `cbor:"3,keyasint"` // unique to the put that created the version
	Replaces   string    `cbor:"4,keyasint"` // token of the previous version
	Author     string    `cbor:"5,keyasint"`
	CreatedAt  time.Time `cbor:"6,keyasint"` // increases with the generation
	TOML       []byte    `cbor:"7,keyasint"`
	Digest     Digest    `cbor:"8,keyasint"`
}

// Summary identifies a version without its text.
type Summary struct {
	Service    string `cbor:"1,keyasint" json:"service"`
	Generation uint64 `cbor:"2,keyasint" json:"generation"`
	Digest     Digest `cbor:"3,keyasint" json:"-"`
}

// Summary returns the summary of v.
func (v Version) Summary() Summary {
	return Summary{Service: v.Service, Generation: v.Generation, Digest: v.Digest}
}

// IncludesGeneration reports whether have contains want's generation of its service, or a
// later one.
func IncludesGeneration(have []Summary, want Summary) bool {
	return slices.ContainsFunc(have, func(s Summary) bool {
		return s.Service == want.Service && s.Generation >= want.Generation
	})
}

// ErrInvalidVersion is returned for data that is not an encoded Version, or whose text
// does not match its digest.
var ErrInvalidVersion = eris.New("invalid document version")

var cborMode = newCBORMode()

func newCBORMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Marshal returns the stored form. The encoding is deterministic, so that several
// processes that write the same version back to the store write equal bytes.
func (v Version) Marshal() ([]byte, error) {
	v.CreatedAt = v.CreatedAt.UTC()
	return cborMode.Marshal(v)
}

// UnmarshalVersion decodes the stored form and verifies the digest. The error wraps
// ErrInvalidVersion.
func UnmarshalVersion(data []byte) (Version, error) {
	var v Version
	if err := cbor.Unmarshal(data, &v); err != nil {
		return Version{}, eris.Wrap(ErrInvalidVersion, err.Error())
	}
	v.CreatedAt = v.CreatedAt.UTC()
	if v.Generation == 0 || DigestOf(v.TOML) != v.Digest {
		return Version{}, eris.Wrapf(ErrInvalidVersion, "service %q generation %d: generation is 0 or digest does not match", v.Service, v.Generation)
	}
	return v, nil
}
