package wire

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// creditBatch is how many served streams are given back to the peer at once.
const creditBatch = 8

// creditBatcher gives back the credit of served streams in batches. QUIC's default
// is to announce a new stream limit after each stream, which costs a packet
// and its acknowledgement with every exchange: a third of a small one. The
// price is that up to creditBatch-1 finished streams stay in memory.
type creditBatcher struct {
	mu     sync.Mutex
	served []*quic.Stream
}

// add takes a served stream.
func (b *creditBatcher) add(stream *quic.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served = append(b.served, stream)
	if len(b.served) < creditBatch {
		return
	}
	for _, s := range b.served {
		s.ReleaseStreamCredit()
	}
	clear(b.served)
	b.served = b.served[:0]
}
