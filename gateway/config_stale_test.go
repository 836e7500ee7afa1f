package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/catalog"
)

// A watch of the configuration returns once a second and confirms what was current when it began,
// so a confirmation is up to two seconds old in normal operation. Gateways that took this for a
// store that does not serve them queried all others all day.
func TestConfirmationsOfWatchAreNotStale(t *testing.T) {
	const watch = time.Second
	for sinceReply := time.Duration(0); sinceReply <= watch; sinceReply += 50 * ms {
		g := gatewayWithConfig(watch+sinceReply, sinceReply)
		qt.Check(t, g.configStale(), qt.IsFalse, qt.Commentf("%v since the store's reply", sinceReply))
	}
}

// A gateway asks its peers before the confirmation gets too old for authentication: soon after the
// store has stopped replying, and also if only the watch fails.
func TestMissingConfirmationIsNoticed(t *testing.T) {
	qt.Check(t, gatewayWithConfig(1400*ms, 1400*ms).configStale(), qt.IsTrue, qt.Commentf("the store does not reply"))
	qt.Check(t, gatewayWithConfig(2600*ms, 0).configStale(), qt.IsTrue, qt.Commentf("the watch fails"))
	qt.Check(t, (&Gateway{currentConfig: catalog.NewCurrent()}).configStale(), qt.IsTrue, qt.Commentf("no configuration is known"))
}

// gatewayWithConfig returns a gateway whose configuration was confirmed age ago and to which the
// store replied sinceReply ago.
func gatewayWithConfig(age, sinceReply time.Duration) *Gateway {
	const now = time.Minute
	g := &Gateway{currentConfig: catalog.NewCurrent()}
	g.peering = newPeering("own", nil, func() time.Duration { return now }, func() uint64 { return 0 })
	g.cfg.SinceStoreReply = func() time.Duration { return sinceReply }
	g.currentConfig.Update(&catalog.Catalog{Version: 1}, nil, now-age)
	return g
}
