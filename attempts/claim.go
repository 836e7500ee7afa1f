package attempts

// Claim is the record of a key in the platform's store: the one attempt that may
// run the request. It is created only if the key has none, and replaced or
// removed only by compare-and-swap after its attempt was proved not run.
//
// Claims expire after a time that ends the life of their keys; see
// TableConfig.MaxAge.
type Claim struct {
	ID    ID     `cbor:"1,keyasint"`
	Agent string `cbor:"2,keyasint"`
	// Fingerprint is of the request's method, path and body: another request
	// under the same key is an error of the caller.
	Fingerprint uint64 `cbor:"3,keyasint"`
}
