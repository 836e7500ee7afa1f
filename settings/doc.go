// Package settings reads a process's own TOML settings: who it is, where it
// listens, and whom it speaks to. How work is treated is not a setting; it is in
// the service's document.
//
// Settings are read once, at the start. The environment is not read.
package settings
