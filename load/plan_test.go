package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const validPlan = `
name = "n"
service = "s"
duration = "100s"
drain = "20s"
[[quick]]
account = "a"
class = "c"
rate = 50.0
deadline = "1s"
work = { median = "1ms", sigma = 1.0, max = "100ms" }
`

func TestPlanErrorsNameFileKeyAndReason(t *testing.T) {
	for name, tc := range map[string]struct{ extra, want string }{
		"misspelt key": {"[[burst]]\nfacter = 2.0\n", `p.toml:13: burst.facter: no such key`},
		"no size":      {"[[job]]\naccount = 'a'\nclass = 'c'\nrate = 1.0\n", `p.toml: job\[0\].sizes: missing`},
		"share":        {"[[cancel_wave]]\nshare = 2.0\n", `p.toml: cancel_wave\[0\].share: must be from 0 to 1`},
		"bad duration": {"[[burst]]\nat = '5'\n", `p.toml:13: burst.at: .*missing unit.*`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParsePlan("p.toml", []byte(validPlan+tc.extra))
			qt.Check(t, err, qt.ErrorMatches, tc.want)
		})
	}
}

func TestScheduleFollowsSeedRateAndBursts(t *testing.T) {
	c := qt.New(t)
	p, err := ParsePlan("p.toml", []byte(validPlan+"[[burst]]\nkind = 'quick'\nat = '50s'\nlength = '10s'\nfactor = 5.0\n"))
	c.Assert(err, qt.IsNil)
	list := p.Schedule()
	c.Check(list, qt.DeepEquals, p.Schedule())
	inBurst, longestWork := 0, time.Duration(0)
	for _, a := range list {
		if a.At >= 50*time.Second && a.At < 60*time.Second {
			inBurst++
		}
		longestWork = max(longestWork, a.Quick.ServiceTime)
	}
	// The expected values are 4500 and 2500; the bounds are four standard deviations.
	c.Check(abs(len(list)-inBurst-4500) < 270, qt.IsTrue, qt.Commentf("%d outside the burst", len(list)-inBurst))
	c.Check(abs(inBurst-2500) < 200, qt.IsTrue, qt.Commentf("%d inside the burst", inBurst))
	c.Check(longestWork > 10*time.Millisecond && longestWork <= 100*time.Millisecond, qt.IsTrue)
}

func abs(n int) int {
	return max(n, -n)
}

func TestSampleWorkloads(t *testing.T) {
	for file, unplaceableSize := range map[string]int{"tidewater": 9, "peachline": 32} {
		p, err := ReadPlan("../testdata/workloads/" + file + ".toml")
		qt.Assert(t, err, qt.IsNil)
		work, placeable, unplaceable, failing := 0.0, 0, 0, 0
		for _, a := range p.Schedule() {
			switch {
			case a.Job == nil:
			case a.Job.Size.Accelerators == unplaceableSize:
				unplaceable++
			default:
				placeable++
				work += float64(a.Job.Size.Accelerators) * a.Job.RunTime.Seconds()
			}
			if a.Job != nil && a.Job.Fail {
				failing++
			}
		}
		t.Logf("%s: %d jobs, %.0f accelerator-seconds in %s", file, placeable, work, time.Duration(p.Duration))
		qt.Check(t, work < 88*time.Duration(p.Duration).Seconds(), qt.IsTrue, qt.Commentf("more work than the workers can do"))
		qt.Check(t, unplaceable > 0 && failing > 0, qt.IsTrue, qt.Commentf("%d unplaceable, %d failing", unplaceable, failing))
	}
}
