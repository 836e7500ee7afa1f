package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/planner"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// reportLocal returns the report of this entry's planner.
func (e *Entry) reportLocal(ctx context.Context, service string) (*api.Report, *api.Problem) {
	p := e.elections.planner(service)
	if p == nil {
		return nil, noPlanner(service, "entry "+e.cfg.ID+" has lost the duty")
	}
	r, ok := p.Report(ctx)
	if !ok {
		return nil, noPlanner(service, "the planner of entry "+e.cfg.ID+" has ended or is too busy")
	}
	out := apiReport(&r, time.Now())
	out.Service = service
	out.Planner = e.plannerInfo(service)
	out.Planner.Generation = r.Generation
	out.StoreUnavailable = r.StoreUnavailable || !e.storeProbe.check(ctx, e.workClient, service)
	return out, nil
}

func apiReport(r *planner.Report, now time.Time) *api.Report {
	out := &api.Report{
		CreatedAt: r.TakenAt,
		Age:       api.Duration(max(0, now.Sub(r.TakenAt))),
		DecidedAt: r.At,
		Settling:  r.Settling || !r.RecordsLoaded,
		Capacity: api.ReportCapacity{
			Accelerators:  r.Stats.Accelerators,
			Free:          r.Stats.Free,
			Reserved:      r.Stats.Reserved,
			Fragmentation: r.Stats.Fragmentation,
			FreeUnits:     map[api.Adjacency][]api.FreeUnits{},
			Evicting:      r.Stats.Evicting,
		},
		Workers: api.ReportWorkers{
			Usable:      r.Stats.Workers,
			Quarantined: apiWorkerList(r.Quarantined),
			Draining:    apiWorkerList(r.Draining),
			Lost:        apiWorkerList(r.Lost),
		},
		Accounts: []api.ReportAccount{},
	}
	for span, units := range r.FreeUnits {
		out.Capacity.FreeUnits[api.Adjacency(span.String())] = apiFreeUnits(units)
	}
	for _, a := range r.Accounts {
		out.Accounts = append(out.Accounts, apiAccount(a, r.WaitTimes[string(a.ID)], now))
	}
	for i := range out.Accounts {
		addWithheld(&out.Accounts[i], r.Withheld[out.Accounts[i].Account])
	}
	return out
}

// addWithheld adds the number of jobs withheld from the scheduler, by class.
func addWithheld(a *api.ReportAccount, withheld map[string]int) {
	for _, class := range slices.Sorted(maps.Keys(withheld)) {
		i := slices.IndexFunc(a.Classes, func(c api.ReportClass) bool { return c.Class == class })
		if i < 0 {
			i = len(a.Classes)
			a.Classes = append(a.Classes, api.ReportClass{Class: class})
		}
		a.Classes[i].Withheld = withheld[class]
	}
}

func apiAccount(a scheduler.AccountReport, waitSummaries map[string]metrics.Summary, now time.Time) api.ReportAccount {
	out := api.ReportAccount{
		Account:                string(a.ID),
		Guaranteed:             a.Guaranteed,
		Used:                   a.Used,
		Borrowed:               a.Borrowed,
		Unplaced:               a.Unplaced,
		Evictions:              a.Evicted.Gangs,
		LostAcceleratorSeconds: a.Evicted.AcceleratorSeconds,
		Classes:                []api.ReportClass{},
	}
	for _, c := range a.Classes {
		class := api.ReportClass{
			Class:               c.Class,
			Running:             c.Running,
			RunningAccelerators: c.RunningAccelerators,
			Waiting:             c.Waiting,
			WaitingAccelerators: c.WaitingAccelerators,
			WaitTimes:           apiWaits(waitSummaries[c.Class]),
		}
		if !c.OldestSubmission.IsZero() {
			class.LongestWait = api.Duration(max(0, now.Sub(c.OldestSubmission)).Round(time.Millisecond))
		}
		out.Classes = append(out.Classes, class)
	}
	return out
}

func apiWaits(summary metrics.Summary) api.WaitTimes {
	us := func(n int64) api.Duration { return api.Duration(time.Duration(n) * time.Microsecond) }
	return api.WaitTimes{Count: summary.Count, P50: us(summary.P50), P90: us(summary.P90), P99: us(summary.P99), Max: us(summary.Max)}
}

func apiFreeUnits(units []scheduler.FreeUnits) []api.FreeUnits {
	out := []api.FreeUnits{}
	for _, u := range units {
		out = append(out, api.FreeUnits{Free: u.Free, Units: u.Units})
	}
	return out
}

func apiWorkerList(l scheduler.WorkerList) api.WorkerList {
	out := api.WorkerList{Count: l.Count}
	for _, w := range l.Workers {
		out.Workers = append(out.Workers, api.WorkerStatus{ID: string(w.ID), Since: w.Since, Until: w.Until, Probing: w.Probing})
	}
	return out
}
