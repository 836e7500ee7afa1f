package entry

import (
	"math"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

// accountShareFactor is how much more of its own first attempts one client
// account may spend on retries than all together: the failures of one target can
// meet a few accounts only.
const accountShareFactor = 2

// retriesOf is the retry budget that a document declares.
func retriesOf(d *document.Document) routing.RetryPolicy {
	return routing.RetryPolicy{
		Share:        d.Routing.RetryShare,
		AccountShare: accountShareFactor * d.Routing.RetryShare,
		Burst:        d.Routing.RetryBurst,
	}
}

// obey puts a document in force for the requests of its service.
func (d *dispatcher) obey(doc *document.Document) {
	weights := relativeWeights(doc)
	d.weights.Store(&weights)
	d.router.SetRetryPolicy(retriesOf(doc))
}

// maxInFlight is how many requests this entry may have at one target.
func (e *Entry) maxInFlight(service string) int {
	held, ok := e.docs.Current(service)
	if !ok {
		return math.MaxInt
	}
	return held.Document.Routing.MaxInFlight
}

// relativeWeights is each account's weight over the mean of all accounts.
func relativeWeights(d *document.Document) map[string]float64 {
	sum := 0
	for i := range d.Accounts {
		sum += d.Accounts[i].Weight
	}
	weights := make(map[string]float64, len(d.Accounts))
	for i := range d.Accounts {
		a := &d.Accounts[i]
		weights[a.Name] = float64(a.Weight*len(d.Accounts)) / float64(sum)
	}
	return weights
}
