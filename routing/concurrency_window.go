package routing

import "time"

const (
	minWindow = 1.0
	// markedShareWeight is the weight of the newest round in the moving share of
	// marked replies.
	markedShareWeight = 1.0 / 16
	// lossFactor is what a loss, or a refusal in lasting congestion, leaves.
	lossFactor = 0.5
)

// concurrencyWindow bounds the attempts that one entry has in flight at one target. It
// grows by one per round of clear replies, is cut in proportion to the moving
// share of marked replies once per round, and is halved by a loss at most once
// per round. A round is as many replies as the concurrencyWindow holds, or one latency,
// whichever comes first. The owner holds the endpoint's mutex.
type concurrencyWindow struct {
	size          float64
	maxSize       float64
	markedShare   float64 // moving share of marked replies
	replies       int     // in the current round
	markedReplies int
	nextCutAt     int64 // no second drastic cut before
}

func newConcurrencyWindow(initialSize, maxSize int) concurrencyWindow {
	w := concurrencyWindow{maxSize: max(minWindow, float64(maxSize))}
	w.size = min(max(minWindow, float64(initialSize)), w.maxSize)
	return w
}

// recordReply counts one recordReply. busy says that the window was in use: an idle window
// does not grow, since nothing shows that the target would bear more.
func (w *concurrencyWindow) recordReply(marked, inUse bool) {
	w.replies++
	if marked {
		w.markedReplies++
	} else if inUse {
		w.size = min(w.size+1/w.size, w.maxSize)
	}
	if float64(w.replies) < w.size {
		return
	}
	share := float64(w.markedReplies) / float64(w.replies)
	w.markedShare += markedShareWeight * (share - w.markedShare)
	if w.markedReplies > 0 {
		w.size = max(minWindow, w.size*(1-w.markedShare/2))
	}
	w.replies, w.markedReplies = 0, 0
}

// recordLoss halves the window, at most once per round trip: the attempts of one
// round all fail for the same cause.
func (w *concurrencyWindow) recordLoss(now int64, roundTrip time.Duration) {
	if now < w.nextCutAt {
		return
	}
	w.size = max(minWindow, w.size*lossFactor)
	w.nextCutAt = now + int64(roundTrip)
}
