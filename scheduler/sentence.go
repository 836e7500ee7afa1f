package scheduler

import (
	"fmt"
	"strings"
	"time"
)

// Sentence returns the explanation as one sentence for operators.
func (e *Explanation) Sentence() string {
	switch e.Reason {
	case WaitNone:
		return "it does not wait: an attempt of it exists"
	case WaitFitsNow:
		return "there is a place, and the next decision starts it"
	case WaitNextDecision:
		return "a place, or room in its account's guarantee, has turned up since it was last tried; it is tried again after those that go first"
	case WaitRetry:
		return "an attempt failed or was refused, and it is tried again at " + clockTime(e.Until)
	case WaitReclaim:
		return fmt.Sprintf("its account's guarantee is being reclaimed for it: %d accelerators are still held by work that is evicted", e.Evicting)
	case WaitReserved:
		return "a place is reserved for it, where work has to end" + expectedBy(e.Until)
	case WaitBehind:
		return e.behindSentence()
	case WaitYields:
		return "it leaves its account's guaranteed blocks to larger jobs of the account until " + clockTime(e.Until)
	case WaitDegraded:
		return fmt.Sprintf("the guarantee of its account is degraded: %d blocks that could hold it have no place", e.UnplacedBlocks)
	}
	return e.sizeSentence()
}

// sizeSentence returns the sentence for reasons that concern workers and
// capacity.
func (e *Explanation) sizeSentence() string {
	switch e.Reason {
	case WaitSettling:
		return "no worker known so far could hold it, and workers may still announce themselves until " + clockTime(e.Until) + ": " + e.Detail
	case WaitNoWorkers:
		return "no worker is known"
	case WaitImpossible:
		return "it can never run as declared: " + e.Detail
	case WaitNoCores:
		return "no worker has its cores and memory left for jobs without accelerators"
	case WaitFailedWorkers:
		return e.needText() + ", and the only free places are on workers on which it has failed"
	case WaitGuaranteed:
		return e.needText() + ", which it may not use: it can't be evicted there, or may not borrow, and guarantees are bound to it"
	case WaitReservations:
		return e.needText() + ", and what else is free is reserved for larger jobs that have waited longer"
	case WaitOverShare:
		return fmt.Sprintf("%s, and its account uses more than its share: job %s of another account goes first", e.needText(), e.First)
	}
	return e.needText() + e.firstText()
}

func (e *Explanation) behindSentence() string {
	more := ""
	if e.AheadTruncated {
		more = " or more"
	}
	return fmt.Sprintf("%d%s jobs of its account, class and shape go first; the first of them, %s, waits by %s", e.Ahead, more, e.First, e.FirstReason)
}

// needText states what the job needs and what is free.
func (e *Explanation) needText() string {
	if e.Free == 0 {
		return fmt.Sprintf("it needs %d accelerators and none is free", e.Accelerators)
	}
	if e.Span == AdjacentAny {
		return fmt.Sprintf("it needs %d accelerators and %d are free", e.Accelerators, e.Free)
	}
	return fmt.Sprintf("it needs %d accelerators in one %s; %d are free, at most %d of them in one %s%s",
		e.Accelerators, e.Span, e.Free, e.Largest, e.Span, e.unitCounts())
}

// unitCounts lists the units of the span by their free accelerators.
func (e *Explanation) unitCounts() string {
	if len(e.Units) == 0 {
		return ""
	}
	parts := make([]string, 0, len(e.Units))
	for _, u := range e.Units {
		parts = append(parts, fmt.Sprintf("%d in %d", u.Free, u.Units))
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// firstText names the job that is first in the order.
func (e *Explanation) firstText() string {
	switch e.First {
	case "":
		return ""
	case e.Job:
		return "; it is the first in the order"
	}
	return fmt.Sprintf("; job %s is the first in the order", e.First)
}

func expectedBy(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return "; expected by " + clockTime(at)
}

func clockTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
