package wire

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

// MinClusterKeySize is the minimum length of a cluster key in bytes.
const MinClusterKeySize = 16

const (
	alpnProtocol        = "eelgrasshub/1"
	serverName          = "eelgrasshub"
	caDerivationInfo    = "eelgrasshub wire ca 1"
	resetDerivationInfo = "eelgrasshub wire stateless reset 1 "
)

// Certificates have a fixed validity and are verified at a fixed time, so that an
// instance with a wrong clock can still connect. Access is revoked by replacing the
// cluster key (see NewIdentity).
var (
	validFrom        = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil       = time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC)
	verificationTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Identity holds the credentials that prove that a process belongs to the cluster, and
// its Peer. It is immutable.
type Identity struct {
	peer        Peer
	key         []byte
	certificate tls.Certificate
	roots       *x509.CertPool
}

// NewIdentity derives the cluster's certificate authority from key and signs a new
// certificate for this process. Peers with one of the accepted keys are admitted too,
// which allows key rotation without an interruption: first every process accepts the
// new key, then uses it, then drops the old one.
func NewIdentity(peer Peer, key []byte, accepted ...[]byte) (Identity, error) {
	ca, signer, err := deriveClusterCA(key)
	if err != nil {
		return Identity{}, err
	}
	certificate, err := newCertificate(ca, signer)
	if err != nil {
		return Identity{}, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(ca)
	for _, acceptedKey := range accepted {
		acceptedCA, _, err := deriveClusterCA(acceptedKey)
		if err != nil {
			return Identity{}, err
		}
		roots.AddCert(acceptedCA)
	}
	peer.Version = Version
	return Identity{peer: peer, key: key, certificate: certificate, roots: roots}, nil
}

// Peer returns what this process sends about itself in Hello.
func (id Identity) Peer() Peer { return id.peer }

// deriveClusterCA returns the certificate authority and its signer. Every process with
// the same key derives the same authority.
func deriveClusterCA(key []byte) (*x509.Certificate, ed25519.PrivateKey, error) {
	if len(key) < MinClusterKeySize {
		return nil, nil, eris.Errorf("cluster key has %d bytes, needs %d", len(key), MinClusterKeySize)
	}
	seed, err := hkdf.Key(sha256.New, key, nil, caDerivationInfo, ed25519.SeedSize)
	if err != nil {
		return nil, nil, eris.Wrap(err, "derive cluster authority")
	}
	signer := ed25519.NewKeyFromSeed(seed)
	id := sha256.Sum256(signer.Public().(ed25519.PublicKey))
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "eelgrasshub cluster"},
		SubjectKeyId:          id[:20],
		NotBefore:             validFrom,
		NotAfter:              validUntil,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, signer.Public(), signer)
	if err != nil {
		return nil, nil, eris.Wrap(err, "create cluster authority")
	}
	ca, err := x509.ParseCertificate(der)
	return ca, signer, err
}

func newCertificate(ca *x509.Certificate, signer ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "generate serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    validFrom,
		NotAfter:     validUntil,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, public, signer)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "create certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// tlsConfig returns the configuration for both client and server side: each end
// verifies the other.
func (id Identity) tlsConfig() *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{id.certificate},
		RootCAs:                id.roots,
		ClientCAs:              id.roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ServerName:             serverName,
		NextProtos:             []string{alpnProtocol},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		Time:                   func() time.Time { return verificationTime },
	}
}

// statelessResetKey returns the key with which a process that restarts on the same
// address can reset the connections of its predecessor. It is derived from the address,
// since with one key for all addresses a peer could be made to end another's
// connections.
func (id Identity) statelessResetKey(addr string) ([32]byte, error) {
	var key [32]byte
	raw, err := hkdf.Key(sha256.New, id.key, nil, resetDerivationInfo+addr, len(key))
	copy(key[:], raw)
	return key, err
}
