// Package runtimes estimates how long a run will take, from the duration that its caller
// declared and from past runs of the same queue.
//
// For each queue the two sources are weighted by the inverse of their recent variance.
// A Model reads no clock and is not safe for concurrent use.
package runtimes
