package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// measure reports percentages in intervals of 100 ms and returns the last measured time for one
// percent and the ratios of all windows.
func measure(m *speedMeter, percentages ...int) (perPercent time.Duration, ratios []float64) {
	for i, percent := range percentages {
		p, ratio := m.observe(time.Duration(i+1)*100*time.Millisecond, 1, percent)
		if p != 0 {
			perPercent = p
		}
		if ratio != 0 {
			ratios = append(ratios, ratio)
		}
	}
	return perPercent, ratios
}

func TestSpeedMeterMeasuresSteadyProgress(t *testing.T) {
	perPercent, ratios := measure(&speedMeter{}, 0, 10, 20, 30, 40, 50)
	qt.Check(t, perPercent, qt.Equals, 10*time.Millisecond)
	qt.Check(t, ratios, qt.DeepEquals, []float64{1})
}

// Guards against a worker that turns slow unnoticed while a run continues.
func TestSpeedMeterSeesChange(t *testing.T) {
	_, ratios := measure(&speedMeter{}, 0, 20, 24, 28, 32, 36, 40, 60, 80)
	qt.Assert(t, len(ratios) > 0, qt.IsTrue)
	qt.Check(t, ratios[0] > 4, qt.IsTrue, qt.Commentf("%v", ratios))
	qt.Check(t, ratios[len(ratios)-1] < 0.5, qt.IsTrue, qt.Commentf("%v", ratios))
}

// Guards against a task that stands still being taken for a slow worker.
func TestSpeedMeterIgnoresTaskThatStandsStill(t *testing.T) {
	_, ratios := measure(&speedMeter{}, 0, 20, 40, 40, 40, 40, 40, 40, 40)
	for _, ratio := range ratios {
		qt.Check(t, ratio < 2, qt.IsTrue)
	}
}

// Guards against progress that runs backwards, or jumps to the end, being taken for speed.
func TestSpeedMeterIgnoresProgressThatMakesNoSense(t *testing.T) {
	perPercent, ratios := measure(&speedMeter{}, 50, 10, 100, 0, 100)
	qt.Check(t, perPercent, qt.Equals, time.Duration(0))
	qt.Check(t, ratios, qt.HasLen, 0)
}

// Guards against the time of a restore being taken for the run's own progress.
func TestSpeedMeterSkipsRestore(t *testing.T) {
	perPercent, _ := measure(&speedMeter{skipsRestore: true}, 40, 40, 40, 45, 55, 65, 75)
	qt.Check(t, perPercent, qt.Equals, 10*time.Millisecond)
}

// Guards against times of two processes of an agent, whose clocks may differ, being compared.
func TestSpeedMeterStartsAgainWithNewProcess(t *testing.T) {
	m := &speedMeter{}
	m.observe(time.Second, 1, 0)
	perPercent, _ := m.observe(1500*time.Millisecond, 2, 50)
	qt.Check(t, perPercent, qt.Equals, time.Duration(0))
}
