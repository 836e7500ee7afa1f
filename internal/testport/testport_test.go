package testport_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/internal/testport"
)

func TestAddressesAreFreeAndDiffer(t *testing.T) {
	c := qt.New(t)
	r := testport.Range{From: 30_100, To: 30_200}
	seen := map[string]bool{}
	for range 50 {
		addr := r.FreeAddr()
		c.Assert(seen[addr], qt.IsFalse)
		seen[addr] = true
	}
	addr := r.FreeAddr()
	l, err := net.Listen("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer l.Close()
	for range 60 {
		c.Assert(r.FreeAddr(), qt.Not(qt.Equals), addr)
	}
}
