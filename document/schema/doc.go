// Package schema decodes TOML into tagged structs strictly. Unknown keys, values of a
// wrong type and values out of range are all reported at once, each with file, line, key
// and the accepted values.
//
// Each struct field is one key. Its tags define the key's name (toml), default (default),
// unit (unit) and accepted values (validate). They are also the source of the error
// messages and of the test that the reference page lists every key.
//
// All functions are safe for concurrent use.
package schema
