// Package workerspeed learns how fast workers are from the run times of their tasks.
//
// The run time of a unit is modelled in logarithms: a base that all runs of one group share, plus
// the effect of the slowest worker, plus noise. Effects are normally distributed around 0. Each
// observation updates the effects by assumed density filtering: the posterior of an effect is
// replaced by a normal distribution with the same mean and variance.
//
// A second model, in which all workers are equal, predicts every run time as well. The workers of a
// pool count as different once the first model has predicted so much better that chance does not
// explain it. Until then all factors are 1.
//
// A Model reads no clock and is not safe for concurrent use.
package workerspeed
