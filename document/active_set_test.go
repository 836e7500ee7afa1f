package document_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/document"
)

func version(generation uint64, label string) document.Version {
	toml := documentText("dispatch", label)
	return document.Version{
		Service:    "dispatch",
		Generation: generation,
		Token:      fmt.Sprintf("token-%016s", label),
		Author:     label,
		CreatedAt:  time.Unix(int64(generation), 0).UTC(),
		TOML:       toml,
		Digest:     document.DigestOf(toml),
	}
}

// unknownKeyVersion returns a version with a key that this binary does not know.
func unknownKeyVersion(generation uint64) document.Version {
	v := version(generation, "newer")
	v.TOML = append([]byte("quantum = true\n"), v.TOML...)
	v.Digest = document.DigestOf(v.TOML)
	return v
}

func TestActiveSetUpdate(t *testing.T) {
	damaged := version(3, "damaged")
	damaged.Digest[0]++
	foreign := version(3, "foreign")
	foreign.TOML = documentText("slotbook", "foreign")
	foreign.Digest = document.DigestOf(foreign.TOML)
	for _, test := range []struct {
		name    string
		offered document.Version
		want    document.UpdateResult
	}{
		{"next generation", version(3, "new"), document.UpdateAccepted},
		{"older generation", version(1, "old"), document.UpdateOlder},
		{"same version", version(2, "held"), document.UpdateUnchanged},
		{"unknown key", unknownKeyVersion(3), document.UpdateRefused},
		{"digest mismatch", damaged, document.UpdateRefused},
		{"text of another service", foreign, document.UpdateRefused},
		{"no generation", document.Version{Service: "dispatch"}, document.UpdateOlder},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			set := document.NewActiveSet(nil)
			c.Assert(set.Update(time.Unix(1, 0), version(2, "held")), qt.Equals, document.UpdateAccepted)
			c.Assert(set.Update(time.Unix(2, 0), test.offered), qt.Equals, test.want)
			active, ok := set.Current("dispatch")
			c.Assert(ok, qt.IsTrue)
			accepted := test.want == document.UpdateAccepted
			c.Assert(active.Version.Generation == 3, qt.Equals, accepted)
			c.Assert(active.Document.Owner == "held", qt.Equals, !accepted)
		})
	}
}

func TestOnChangeOrder(t *testing.T) {
	c := qt.New(t)
	var seen []string
	set := document.NewActiveSet(func(old, now *document.ActiveVersion) {
		from := uint64(0)
		if old != nil {
			from = old.Version.Generation
		}
		seen = append(seen, fmt.Sprint(from, "-", now.Version.Generation))
	})
	for _, g := range []uint64{1, 3, 2, 4} {
		set.Update(time.Unix(0, 0), version(g, fmt.Sprint(g)))
	}
	c.Assert(seen, qt.DeepEquals, []string{"0-1", "1-3", "3-4"})
}

func TestCompareWithPeer(t *testing.T) {
	c := qt.New(t)
	a, b := document.NewActiveSet(nil), document.NewActiveSet(nil)
	now := time.Unix(0, 0)
	a.Update(now, version(2, "two"))
	b.Update(now, version(3, "three"))
	c.Assert(a.Missing(b.Summaries()), qt.DeepEquals, []document.Summary{version(3, "three").Summary()})
	c.Assert(b.NewerThan(a.Summaries(), 1), qt.DeepEquals, []document.Version{version(3, "three")})
	c.Assert(b.Compare(a.Summaries()).Missing, qt.HasLen, 0)

	refused := unknownKeyVersion(4)
	a.Update(now, refused)
	c.Assert(a.Missing([]document.Summary{refused.Summary()}), qt.HasLen, 0)
	c.Assert(a.Counts(), qt.Equals, document.UpdateCounts{Accepted: 1, Refused: 1})
}

func TestVersionRoundTrip(t *testing.T) {
	c := qt.New(t)
	v := version(7, "seven")
	data, err := v.Marshal()
	c.Assert(err, qt.IsNil)
	got, err := document.UnmarshalVersion(data)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, v)
	_, err = document.UnmarshalVersion(data[:len(data)-1])
	c.Assert(err, qt.ErrorIs, document.ErrInvalidVersion)
	data[len(data)-1]++
	_, err = document.UnmarshalVersion(data)
	c.Assert(err, qt.ErrorIs, document.ErrInvalidVersion)
}

// With concurrent updates, no reader may see the generation decrease, and the highest one
// remains active.
func TestConcurrentUpdatesNeverDecreaseGeneration(t *testing.T) {
	c := qt.New(t)
	const highest, sources = 40, 4
	set := document.NewActiveSet(nil)
	var wg sync.WaitGroup
	for source := range sources {
		wg.Go(func() {
			for i := range highest {
				g := uint64((i*7+source*11)%highest + 1)
				set.Update(time.Unix(0, 0), version(g, fmt.Sprint(g)))
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for last, over := uint64(0), false; !over; {
		select {
		case <-done:
			over = true
		default:
		}
		if active, ok := set.Current("dispatch"); ok {
			c.Assert(active.Version.Generation >= last, qt.IsTrue)
			last = active.Version.Generation
		}
		runtime.Gosched()
	}
	active, _ := set.Current("dispatch")
	c.Assert(active.Version.Generation, qt.Equals, uint64(highest))
}
