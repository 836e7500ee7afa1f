package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Snapshot is an immutable view of the members.
type Snapshot struct {
	// Version grows from one snapshot to the next.
	Version  uint64
	services map[string]*ServiceView
}

// ServiceView is the view of one service. Its slices are shared and must not be
// modified.
type ServiceView struct {
	Name string
	// Members are all known members sorted by ID. They include draining ones, whose
	// running tasks the planner needs to know.
	Members []*Member
	// Schedulable are the members that may get new work, sorted by ID.
	Schedulable []*Member
}

// Service returns the view of a service, which is empty if it has no members.
func (s *Snapshot) Service(name string) *ServiceView {
	if v := s.services[name]; v != nil {
		return v
	}
	return &ServiceView{Name: name}
}

// Services returns the names of the services with members, sorted.
func (s *Snapshot) Services() []string {
	return slices.Sorted(maps.Keys(s.services))
}

// Find returns the member with the ID, or nil.
func (v *ServiceView) Find(id string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, id, compareID)
	if !ok {
		return nil
	}
	return v.Members[i]
}

func compareID(m *Member, id string) int { return cmp.Compare(m.Report.ID, id) }

// Snapshot returns the current view. It is safe for concurrent use.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// publish replaces the snapshot's services that changed.
func (t *Table) publish(now time.Time) {
	if len(t.dirty) == 0 || (!t.publishNow && now.Sub(t.lastPublish) < t.cfg.PublishInterval) {
		return
	}
	services := maps.Clone(t.snapshot.Load().services)
	if services == nil {
		services = map[string]*ServiceView{}
	}
	for name, ids := range t.dirty {
		view := t.rebuild(services[name], name, ids)
		if len(view.Members) == 0 {
			delete(services, name)
			continue
		}
		services[name] = view
	}
	clear(t.dirty)
	t.publishNow = false
	t.lastPublish = now
	t.snapshot.Store(&Snapshot{Version: t.version, services: services})
}

// rebuild merges the changed members, sorted, into the old sorted view.
func (t *Table) rebuild(old *ServiceView, name string, ids map[string]bool) *ServiceView {
	var oldMembers []*Member
	if old != nil {
		oldMembers = old.Members
	}
	changed := slices.Sorted(maps.Keys(ids))
	view := &ServiceView{Name: name, Members: make([]*Member, 0, len(oldMembers)+len(changed))}
	for _, id := range changed {
		i, found := slices.BinarySearchFunc(oldMembers, id, compareID)
		view.Members = append(view.Members, oldMembers[:i]...)
		if found {
			i++
		}
		oldMembers = oldMembers[i:]
		if m := t.records[id].memberIn(name); m != nil {
			view.Members = append(view.Members, m)
		}
	}
	view.Members = append(view.Members, oldMembers...)
	view.Schedulable = schedulable(view.Members)
	return view
}

// memberIn returns the member if it belongs to the service. r may be nil if the record
// was dropped.
func (r *record) memberIn(service string) *Member {
	if r == nil || r.member == nil || r.member.Report.Service != service {
		return nil
	}
	return r.member
}

// schedulable returns the schedulable members. It shares the slice if none is draining,
// which is the usual case.
func schedulable(members []*Member) []*Member {
	for i, m := range members {
		if m.Schedulable() {
			continue
		}
		filtered := slices.Clone(members[:i])
		for _, m := range members[i:] {
			if m.Schedulable() {
				filtered = append(filtered, m)
			}
		}
		return filtered
	}
	return members
}
