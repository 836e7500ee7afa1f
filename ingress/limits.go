package ingress

import "time"

// Limits bound what the clients of a Server can make the process hold. All fields must be positive.
type Limits struct {
	// Memory is the number of bytes that requests hold, as estimated, beside their connections.
	Memory int64
	// HeaderBytes is the size limit of a request's headers. The server reads up to 4 KiB more.
	HeaderBytes int
	// HeaderTimeout is the time to receive the headers, RequestTimeout to receive a whole request,
	// and IdleTimeout to wait for the next one.
	HeaderTimeout, RequestTimeout, IdleTimeout time.Duration
}

const (
	// memoryDivisor divides an instance's memory: the quotient is for requests. As much is for
	// connections, and the garbage collector lets the heap grow to twice what is in use.
	memoryDivisor = 8
	minMemory     = 8 << 20
	// receiveBuffer is the size of a connection's receive buffer in the kernel, in bytes. It counts as
	// memory of the process.
	receiveBuffer = 32 << 10
)

// ForInstance returns limits with the Memory that fits an instance with the given memory, in bytes.
func (l Limits) ForInstance(memory int64) Limits {
	l.Memory = max(minMemory, memory/memoryDivisor)
	return l
}
