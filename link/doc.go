// Package link is the messages that gateways and node agents exchange over wire.
package link
