package wire

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// creditBatch is the number of served streams whose credit is released at once.
const creditBatch = 8

// creditBatcher releases the credit of served streams in batches. QUIC by default
// announces a new stream limit after each stream, which costs a packet and its
// acknowledgement per exchange. In return, up to creditBatch-1 finished streams stay in
// memory.
type creditBatcher struct {
	mu     sync.Mutex
	served []*quic.Stream
}

// add queues a served stream and releases the batch when it is full.
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
