// Package eelgrasshub embeds the sample documents and workloads of the two sample
// deployments.
package eelgrasshub

import "embed"

// Samples contains testdata/documents/*.toml and testdata/workloads/*.toml.
//
//go:embed testdata/documents/*.toml testdata/workloads/*.toml
var Samples embed.FS
