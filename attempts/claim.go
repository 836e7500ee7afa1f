package attempts

// Claim is the record of a key in the platform's store: the one attempt that may
// run the request. It is created only if the key has none, and replaced or
// removed only by compare-and-swap after its attempt was proved not run.
//
// Claims expire. A caller may deliver a key again for as long as claims are kept,
// less TableConfig.MaxAge and Skew; after that the key counts as new.
type Claim struct {
	ID    ID     `cbor:"1,keyasint"`
	Agent string `cbor:"2,keyasint"`
	// Fingerprint is of the request's method, path and body: another request
	// under the same key is an error of the caller.
	Fingerprint uint64 `cbor:"3,keyasint"`
}
