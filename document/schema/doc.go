// Package schema reads TOML into tagged structs strictly: unknown keys, values
// of a wrong type and values out of range are all reported at once, each with
// file, line, key and what is accepted.
//
// A struct field is one key. Its tags are the single source of the key's name
// (toml), default (default), unit (unit) and accepted range (validate); the
// same tags feed the error messages and the check that the reference page
// names every key.
//
// Everything here is a pure function of its arguments and safe for concurrent
// use.
package schema
