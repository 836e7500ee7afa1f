package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 hash of the TOML text of a version.
type Digest [sha256.Size]byte

// displayedDigestLen is the number of bytes that String shows.
const displayedDigestLen = 6

// DigestOf returns the digest of the given text.
func DigestOf(toml []byte) Digest {
	return sha256.Sum256(toml)
}

// String returns a hexadecimal prefix of the digest.
func (d Digest) String() string {
	return hex.EncodeToString(d[:displayedDigestLen])
}
