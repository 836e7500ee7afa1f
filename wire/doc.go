// Package wire carries typed messages between the processes of a cluster over
// QUIC.
//
// One exchange uses one stream. The opener writes one frame (a header with
// length and kind, then a CBOR payload) and closes its direction; the other
// side answers with one frame. Either end of a connection may open exchanges,
// so an entry calls an agent over the connection that the agent dialled.
//
// A receiver handles an exchange only after it has read the whole frame and
// the end of the opener's direction. The opener sends that end last, and this
// is what separates ErrNotSent from ErrOutcomeUnknown: see Conn.Call. Every
// implementation of the protocol has to keep this rule.
//
// Both ends prove with a certificate derived from the shared cluster key that
// they belong to the cluster (Identity). Only application traffic proves a
// path: connections that are silent when they should not be are probed with
// Ping, suspected, replaced (Pool) and closed, long before QUIC's own idle
// timeout.
//
// Messages evolve by adding fields: a receiver ignores fields that it does not
// know, and a missing field has its zero value.
package wire
