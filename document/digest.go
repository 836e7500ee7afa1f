package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest identifies the TOML text of a version.
type Digest [sha256.Size]byte

// displayedDigestLen is how many bytes of a digest are shown to people.
const displayedDigestLen = 6

// DigestOf returns the digest of toml.
func DigestOf(toml []byte) Digest {
	return sha256.Sum256(toml)
}

// String returns the first bytes in hexadecimal, enough to tell versions apart.
func (d Digest) String() string {
	return hex.EncodeToString(d[:displayedDigestLen])
}
