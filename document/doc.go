// Package document holds the service document: the operators' one lever. It
// parses and checks the TOML text, keeps numbered generations of it in the
// platform's store by compare-and-swap, and decides which generation is in
// force in a process.
//
// A generation in force in a process is never replaced by a lower one,
// whatever the source offers: the store, a watch, a store restored from a
// backup, or another process.
package document
