package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/eelgrasshub/eelgrasshub/platform/standin"
)

func init() { cases["config-storm"] = configStorm }

const (
	// idleRoutes are the routes of the configuration that nobody uses.
	idleRoutes = 2800
	// stormVersions come stormGap apart while a gateway is cut off from the store for cutFor.
	stormVersions = 15
	stormGap      = 500 * time.Millisecond
	cutFor        = 8 * time.Second
	// contact is contact_ms, and configApply config_apply_ms.
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	// askFor is how long the new route is asked for. It ends before the store may have discarded what
	// was written during the cut (history_s).
	askFor = 3 * time.Second
)

// configStorm cuts a gateway off from the store while versions of a large configuration come in
// quick succession. When it has been back for contact_ms, a version adds a route and removes another.
func configStorm(rec *recorder, binary string, trouble bool) (verdict, error) {
	store := standin.NewStore()
	operator := &operator{rec: rec, store: store}
	if err := operator.write(false); err != nil {
		return nil, err
	}
	const gateways = 3
	var endpoints []*standin.Endpoint
	var addresses []string
	for i := range gateways {
		endpoints = append(endpoints, store.AddEndpoint())
		addresses = append(addresses, endpoints[i].Addr())
	}
	f, err := newFleetAt(rec, binary, store, addresses, 3, peachline)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	cut := (f.planner() + 1) % gateways
	rec.log("fleet", "3 gateways, 3 node agents with a worker each; the planner is front-%d", f.planner())
	time.Sleep(2 * time.Second)
	if trouble {
		rec.log("cut", "front-%d is cut off from the store", cut)
		endpoints[cut].SetState(standin.EndpointUnresponsive)
	}
	healed := time.Now().Add(cutFor)
	for range stormVersions {
		if err := operator.write(false); err != nil {
			return nil, err
		}
		time.Sleep(stormGap)
	}
	time.Sleep(time.Until(healed))
	if trouble {
		rec.log("cut", "front-%d reaches the store again", cut)
		endpoints[cut].SetState(standin.EndpointHealthy)
	}
	time.Sleep(contact + 200*time.Millisecond)
	if err := operator.write(true); err != nil {
		return nil, err
	}
	acked := time.Now()
	time.Sleep(configApply + 300*time.Millisecond)
	var found verdict
	var accepted []string
	for n := 0; time.Since(acked) < configApply+askFor; n++ {
		for i := range gateways {
			sent := time.Since(acked).Seconds()
			status, text := f.call(i, http.MethodGet, "/late/", "")
			rec.log("ask", "a route that was added, at front-%d, %.1f s after the acknowledgement: %d %s", i, sent, status, text)
			if status == http.StatusNotFound {
				found = append(found, fmt.Sprintf("front-%d answers 404 on a route that was added %.1f s before; config_apply_ms is %d", i, sent, configApply.Milliseconds()))
			}
			id := fmt.Sprintf("c0ffee00%04x%04x", n, i)
			status, text = f.call(i, http.MethodPost, "/open/"+id, `{"spec":"ms=300","steps":[{"count":1,"cpu":1000,"mem_mb":512,"est_runtime_ms":300}]}`)
			rec.log("submit", "job %s on a route that was removed, at front-%d, %.1f s after the acknowledgement: %d %s", id, i, sent, status, text)
			if status == http.StatusOK {
				accepted = append(accepted, id)
				found = append(found, fmt.Sprintf("front-%d accepts job %s on a route that was removed %.1f s before", i, id, sent))
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for _, id := range accepted {
		for _, r := range f.history()[id+".0.0.0"] {
			rec.log("run", "%s run %d on %s from %s to %s: %s", r.task, r.number, r.worker, rec.at(r.startedAt), rec.at(r.endedAt), r.how)
		}
	}
	return found, nil
}

// operator writes versions of the configuration.
type operator struct {
	rec     *recorder
	store   *standin.Store
	version int
}

// write writes the next version. The last one adds a route and removes another, which needs no key.
func (o *operator) write(last bool) error {
	o.version++
	route := func(name, prefix string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "prefix": prefix, "route_kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 250,
			"priority": 1, "service": service, "max_attempts": 4, "stretch": 2.0, "public": public,
		}
	}
	routes := []map[string]any{route("desk", "/desk/", false)}
	if last {
		routes = append(routes, route("late", "/late/", false))
	} else {
		routes = append(routes, route("open", "/open/", true))
	}
	for i := range idleRoutes + o.version {
		routes = append(routes, route(fmt.Sprintf("r-idle%04d", i), fmt.Sprintf("/idle%04d/", i), false))
	}
	text, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes,
		"services": []map[string]any{{"name": service}},
		"tenants":  []map[string]any{{"name": "big", "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpu": 8}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	o.store.Put("op/config", text)
	o.rec.log("operator", "version %d, %d routes, %d bytes, is acknowledged", o.version, len(routes), len(text))
	return nil
}
