// Package v3json holds the messages of the published JSON form of the etcd v3
// API, as far as the client and its stand-in need them. Keys and values travel
// as base64, 64-bit integers as decimal strings, and zero fields are left out.
package v3json
