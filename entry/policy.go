package entry

import (
	"math"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

// accountRetryShareFactor is the ratio of the retry share allowed to one client account
// to the share allowed to all accounts together. It is above 1 because the failures of
// one target may affect only a few accounts.
const accountRetryShareFactor = 2

// retryPolicy returns the retry policy that a document declares.
func retryPolicy(d *document.Document) routing.RetryPolicy {
	return routing.RetryPolicy{
		Share:        d.Routing.RetryShare,
		AccountShare: accountRetryShareFactor * d.Routing.RetryShare,
		Burst:        d.Routing.RetryBurst,
	}
}

// applyDocument applies an active document to the requests of its service.
func (d *dispatcher) applyDocument(doc *document.Document) {
	weights := relativeWeights(doc)
	d.weights.Store(&weights)
	d.router.SetRetryPolicy(retryPolicy(doc))
}

// maxInFlight returns how many requests this entry may have at one target.
func (e *Entry) maxInFlight(service string) int {
	active, ok := e.documents.Current(service)
	if !ok {
		return math.MaxInt
	}
	return active.Document.Routing.MaxInFlight
}

// relativeWeights returns each account's weight divided by the mean weight of all
// accounts.
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
