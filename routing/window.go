package routing

import "time"

const (
	minWindow = 1.0
	// markWeight is the weight of the newest round in the moving share of
	// marked replies.
	markWeight = 1.0 / 16
	// drasticCut is what a loss, or a refusal in lasting congestion, leaves.
	drasticCut = 0.5
)

// window bounds the attempts that one entry has in flight at one target. It
// grows by one per round of clear replies, is cut in proportion to the moving
// share of marked replies once per round, and is halved by a loss at most once
// per round. A round is as many replies as the window holds, or one latency,
// whichever comes first. The owner holds the endpoint's mutex.
type window struct {
	size    float64
	limit   float64
	marking float64 // moving share of marked replies
	replies int     // in the current round
	marked  int
	cutAt   int64 // no second drastic cut before
}

func newWindow(initial, limit int) window {
	w := window{limit: max(minWindow, float64(limit))}
	w.size = min(max(minWindow, float64(initial)), w.limit)
	return w
}

// reply counts one reply. busy says that the window was in use: an idle window
// does not grow, since nothing shows that the target would bear more.
func (w *window) reply(marked, busy bool) {
	w.replies++
	if marked {
		w.marked++
	} else if busy {
		w.size = min(w.size+1/w.size, w.limit)
	}
	if float64(w.replies) < w.size {
		return
	}
	share := float64(w.marked) / float64(w.replies)
	w.marking += markWeight * (share - w.marking)
	if w.marked > 0 {
		w.size = max(minWindow, w.size*(1-w.marking/2))
	}
	w.replies, w.marked = 0, 0
}

// loss halves the window, at most once per round trip: the attempts of one
// round all fail for the same cause.
func (w *window) loss(now int64, round time.Duration) {
	if now < w.cutAt {
		return
	}
	w.size = max(minWindow, w.size*drasticCut)
	w.cutAt = now + int64(round)
}
