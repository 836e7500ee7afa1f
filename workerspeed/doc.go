// Package workerspeed learns how fast workers are from the run times of their tasks.
//
// The run time of a unit is modelled as a random-effects model in logarithms: a base that all
// runs of one group share, plus the effect of the worker, plus noise. The base is estimated from
// the declared run time and from the group's runs on other workers. The effect of a worker is
// shrunk towards the average of its pool by the variance between workers, which is estimated by
// the method of DerSimonian and Laird. Until Cochran's Q shows that the workers of a pool differ
// by more than chance, all of them count as equal.
//
// A Model reads no clock and is not safe for concurrent use.
package workerspeed
