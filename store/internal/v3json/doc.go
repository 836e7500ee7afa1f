// Package v3json holds the messages of the JSON form of the etcd v3 API that the client
// and its stand-in use. Keys and values are base64, 64-bit integers are decimal
// strings, and zero fields are omitted.
package v3json
