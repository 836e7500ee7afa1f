// Package link defines the messages that gateways and node agents exchange over package wire.
package link
