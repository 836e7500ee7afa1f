package routing

import "time"

const (
	minWindow = 1.0
	// markedShareWeight is the weight of the newest round in the moving average of
	// the share of marked replies.
	markedShareWeight = 1.0 / 16
	// lossFactor is applied to the window after a loss, or after a refusal in
	// lasting congestion.
	lossFactor = 0.5
)

// concurrencyWindow bounds the attempts that one entry has in flight at one
// target. Like the congestion window of DCTCP, it grows by one per round without
// marks, shrinks once per round in proportion to the average share of marked
// replies, and is halved by a loss at most once per round trip. A round is as many
// replies as the window holds. It is guarded by the endpoint's mutex.
type concurrencyWindow struct {
	size          float64
	maxSize       float64
	markedShare   float64 // moving average of the share of marked replies
	replies       int     // in the current round
	markedReplies int     // in the current round
	nextCutAt     int64   // Unix nanoseconds; losses before it do not shrink the window again
}

func newConcurrencyWindow(initialSize, maxSize int) concurrencyWindow {
	w := concurrencyWindow{maxSize: max(minWindow, float64(maxSize))}
	w.size = min(max(minWindow, float64(initialSize)), w.maxSize)
	return w
}

// recordReply counts one reply. The window grows only while it is in use:
// otherwise nothing shows that the target can take more.
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

// recordLoss halves the window, at most once per round trip, since the losses of
// one round trip have one cause.
func (w *concurrencyWindow) recordLoss(now int64, roundTrip time.Duration) {
	if now < w.nextCutAt {
		return
	}
	w.size = max(minWindow, w.size*lossFactor)
	w.nextCutAt = now + int64(roundTrip)
}
