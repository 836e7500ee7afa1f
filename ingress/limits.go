package ingress

import "time"

// Limits bound what the clients of a Server can make the process hold. All fields must be positive.
type Limits struct {
	Connections int
	// Memory is the number of bytes that requests hold, as estimated, beside their connections.
	Memory int64
	// HeaderBytes is the size limit of a request's headers. The server reads up to 4 KiB more.
	HeaderBytes int
	// HeaderTimeout is the time to receive the headers, RequestTimeout to receive a whole request,
	// and IdleTimeout to wait for the next one.
	HeaderTimeout, RequestTimeout, IdleTimeout time.Duration
}

const (
	// memoryDivisor divides an instance's memory: the quotient is for connections and requests, half
	// for each. The garbage collector lets the heap grow to twice what is in use.
	memoryDivisor = 4
	// receiveBuffer is the size of a connection's receive buffer in the kernel, in bytes. It counts as
	// memory of the process.
	receiveBuffer = 32 << 10
	// connectionMemory is the memory of a connection without a request, in bytes: the receive buffer,
	// the buffers and goroutines of net/http, and the request that is being parsed.
	connectionMemory = receiveBuffer + 24<<10
	// fileDescriptors are reserved for files, of which a process has few.
	fileDescriptors = 200
	// descriptorDivisor divides the other descriptors: the quotient is for clients. The rest is for
	// connections to the store, to workers and to other processes.
	descriptorDivisor = 2
	minConnections    = 16
	minMemory         = 8 << 20
)

// ForInstance returns limits with the Connections and Memory that fit an instance with the given
// memory, in bytes, and descriptors.
func (l Limits) ForInstance(memory int64, descriptors int) Limits {
	half := memory / memoryDivisor / 2
	l.Connections = max(minConnections, min((descriptors-fileDescriptors)/descriptorDivisor, int(half/connectionMemory)))
	l.Memory = max(minMemory, half)
	return l
}
