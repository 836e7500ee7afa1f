// Package settings reads the TOML settings of a process: its identity, its addresses and
// the processes that it connects to. How work is scheduled is configured by the service's
// document instead.
//
// Settings are read once, at startup. Environment variables are not used.
package settings
