// Package eelgrasshub holds the sample documents and workloads of the two
// deployments that the project is built for.
package eelgrasshub

import "embed"

// Samples holds testdata/documents/*.toml and testdata/workloads/*.toml.
//
//go:embed testdata/documents/*.toml testdata/workloads/*.toml
var Samples embed.FS
