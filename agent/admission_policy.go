package agent

import (
	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/document"
)

// admissionPolicy returns the admission settings of a document.
func admissionPolicy(d *document.Document) admission.PolicyChanged {
	p := admission.PolicyChanged{
		Weights:            make(map[string]int, len(d.Accounts)),
		AccountMaxQueued:   make(map[string]int, len(d.Accounts)),
		MaxQueued:          d.Admission.MaxQueued,
		TargetSojourn:      d.Admission.TargetSojourn,
		CongestionInterval: d.Admission.Interval,
	}
	for _, a := range d.Accounts {
		p.Weights[a.Name] = a.Weight
		p.AccountMaxQueued[a.Name] = a.MaxQueued
	}
	return p
}
