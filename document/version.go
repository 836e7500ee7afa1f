package document

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// StoreKeyPrefix is where documents live in the platform's store; the service's name
// follows.
const StoreKeyPrefix = "documents/"

// StoreKey returns the key of a service's document in the platform's store.
func StoreKey(service string) string {
	return StoreKeyPrefix + service
}

// Version is one numbered version of a service's document, as stored and as
// exchanged between processes. TOML is never changed once a Version is made.
type Version struct {
	Service    string    `cbor:"1,keyasint"`
	Generation uint64    `cbor:"2,keyasint"` // 1 for the first; each put adds one
	Token      string    `cbor:"3,keyasint"` // unique to the put that made it
	Replaces   string    `cbor:"4,keyasint"` // token of the version before it
	Author     string    `cbor:"5,keyasint"`
	CreatedAt  time.Time `cbor:"6,keyasint"` // grows along the generations of a document
	TOML       []byte    `cbor:"7,keyasint"`
	Digest     Digest    `cbor:"8,keyasint"`
}

// Summary names a version without its text.
type Summary struct {
	Service    string `cbor:"1,keyasint" json:"service"`
	Generation uint64 `cbor:"2,keyasint" json:"generation"`
	Digest     Digest `cbor:"3,keyasint" json:"-"`
}

// Summary returns the name of v.
func (v Version) Summary() Summary {
	return Summary{Service: v.Service, Generation: v.Generation, Digest: v.Digest}
}

// IncludesGeneration reports whether have names the generation of want's service, or a later one.
func IncludesGeneration(have []Summary, want Summary) bool {
	return slices.ContainsFunc(have, func(s Summary) bool {
		return s.Service == want.Service && s.Generation >= want.Generation
	})
}

// ErrInvalidVersion: bytes that are not a Version, or whose text does not match
// its digest.
var ErrInvalidVersion = eris.New("not a stored document version")

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

// Marshal returns the stored form. Equal versions give equal bytes in every
// process, so that several processes may write the same version back to the
// store and each recognises it.
func (v Version) Marshal() ([]byte, error) {
	v.CreatedAt = v.CreatedAt.UTC()
	return cborMode.Marshal(v)
}

// UnmarshalVersion reads the stored form.
func UnmarshalVersion(data []byte) (Version, error) {
	var v Version
	if err := cbor.Unmarshal(data, &v); err != nil {
		return Version{}, eris.Wrap(ErrInvalidVersion, err.Error())
	}
	v.CreatedAt = v.CreatedAt.UTC()
	if v.Generation == 0 || DigestOf(v.TOML) != v.Digest {
		return Version{}, eris.Wrapf(ErrInvalidVersion, "service %q generation %d", v.Service, v.Generation)
	}
	return v, nil
}
