package wire

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// creditBatch is how many served streams are given back to the peer at once.
const creditBatch = 8

// credits gives back the credit of served streams in batches. QUIC's default
// is to announce a new stream limit after each stream, which costs a packet
// and its acknowledgement with every exchange: a third of a small one. The
// price is that up to creditBatch-1 finished streams stay in memory.
type credits struct {
	mu   sync.Mutex
	done []*quic.Stream
}

// add takes a served stream.
func (cr *credits) add(stream *quic.Stream) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.done = append(cr.done, stream)
	if len(cr.done) < creditBatch {
		return
	}
	for _, s := range cr.done {
		s.ReleaseStreamCredit()
	}
	clear(cr.done)
	cr.done = cr.done[:0]
}
