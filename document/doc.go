// Package document defines the service document, the TOML file by which operators
// configure a service. It parses and validates the text, stores numbered generations of it
// in the platform's store by compare-and-swap, and decides which generation is active in a
// process.
//
// Within a process, the active generation of a service never decreases, whatever the
// source of an update: the store, a watch, a store restored from a backup, or another
// process.
package document
