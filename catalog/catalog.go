package catalog

import (
	"strings"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Queue is where jobs of one kind are handed in.
type Queue struct {
	Name        string
	Host        string
	Prefix      string // of the path; the longest that matches decides
	Service     string
	CallTimeout time.Duration // bound on one call of a caller
	Public      bool          // calls need no key
	Policy      workload.QueuePolicy
}

// Service is a pool of workers.
type Service struct {
	Name string
	// RejectsOverload: workers refuse what does not fit. Otherwise they start
	// whatever they are told to.
	RejectsOverload bool
	Standby         bool
}

// Account is a client account.
type Account struct {
	Name string
	// GuaranteedAccelerators accelerators belong to the account's jobs of priority 0.
	GuaranteedAccelerators int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
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

// BuildIndex prepares c for Match. It is called once, before c is shared.
func (c *Catalog) BuildIndex() *Catalog {
	c.queuesByHost = map[string][]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		host := strings.ToLower(q.Host)
		c.queuesByHost[host] = append(c.queuesByHost[host], q)
	}
	return c
}

// Match returns the queue with the longest prefix of path at host, and the rest of
// the path. host may carry a port.
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

// GuaranteedAccelerators returns the accelerators that an account is guaranteed.
func (c *Catalog) GuaranteedAccelerators(account string) int {
	if c == nil {
		return 0
	}
	return c.Accounts[account].GuaranteedAccelerators
}
