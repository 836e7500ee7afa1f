// Package movingstats holds an exponentially weighted mean and variance.
package movingstats
