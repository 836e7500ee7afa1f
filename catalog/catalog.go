package catalog

import (
	"strings"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Queue is an entry point to which the jobs of one kind are submitted.
type Queue struct {
	Name        string
	Host        string
	Prefix      string // path prefix; the longest match wins
	Service     string
	CallTimeout time.Duration // limit for one call
	Public      bool          // calls need no API key
	Policy      workload.QueuePolicy
}

// Service is a pool of workers.
type Service struct {
	Name string
	// RejectsOverload: workers refuse tasks that exceed their free capacity. Otherwise they
	// start every task that they are ordered to start.
	RejectsOverload bool
	Standby         bool
}

// Account is a client account and what it is guaranteed.
type Account struct {
	Name string
	// GuaranteedAccelerators is the number guaranteed to the account's jobs of priority 0. Other
	// work may use them until they are reclaimed.
	GuaranteedAccelerators int
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the operators' configuration. It is immutable once BuildIndex
// has been called.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Accounts map[string]Account
	// Keys maps an API key to the name of its account.
	Keys   map[string]string
	Limits Limits

	queuesByHost map[string][]*Queue
}

// BuildIndex builds the index that Match uses and returns c. It must be called once, before
// c is shared.
func (c *Catalog) BuildIndex() *Catalog {
	c.queuesByHost = map[string][]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		host := strings.ToLower(q.Host)
		c.queuesByHost[host] = append(c.queuesByHost[host], q)
	}
	return c
}

// Match returns the queue whose prefix is the longest one that path starts with at host, and
// the rest of the path. host may include a port.
func (c *Catalog) Match(host, path string) (q *Queue, rest string, ok bool) {
	host = strings.ToLower(host)
	queues, found := c.queuesByHost[host]
	if !found {
		name, _, _ := strings.Cut(host, ":")
		queues = c.queuesByHost[name]
	}
	for _, candidate := range queues {
		if strings.HasPrefix(path, candidate.Prefix) && (q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// GuaranteedAccelerators returns the number of accelerators that the account is guaranteed.
// A nil Catalog guarantees none.
func (c *Catalog) GuaranteedAccelerators(account string) int {
	if c == nil {
		return 0
	}
	return c.Accounts[account].GuaranteedAccelerators
}
