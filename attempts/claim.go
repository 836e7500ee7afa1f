package attempts

// Claim is the record of a key in the platform's store. It names the one attempt
// that may run the request. A claim is created only if the key has none, and it is
// replaced or removed only by compare-and-swap after its attempt was proved not to
// have run.
//
// Claims expire. A caller may deliver a key again for the lifetime of a claim less
// TableConfig.MaxAge and MaxClockSkew; after that the key counts as new.
type Claim struct {
	ID    ID     `cbor:"1,keyasint"`
	Agent string `cbor:"2,keyasint"`
	// Fingerprint is a hash of the request's method, path and body. It detects a
	// caller that uses the key for another request.
	Fingerprint uint64 `cbor:"3,keyasint"`
}
