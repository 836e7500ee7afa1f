package scheduler

import "time"

// queueKey is what makes waiting jobs of an account interchangeable for
// placement: if one finds no place, neither do the others.
type queueKey struct {
	class        string
	accelerators int
	span         Adjacency
	cores        int
	memory       int
	urgent       bool
	priority     int
	mayBorrow    bool
}

// mayBorrow reports whether the job may run on capacity that blocks of other
// accounts need.
func (j *job) mayBorrow() bool { return j.Job.mayBorrow() && !j.borrowingEnded }

func (j *job) key() queueKey {
	k := keyOf(&j.Job)
	k.mayBorrow = j.mayBorrow()
	return k
}

func keyOf(j *Job) queueKey {
	return queueKey{
		class: j.Class, accelerators: j.Accelerators, span: j.Adjacency,
		cores: j.Cores, memory: j.MemoryMB,
		urgent: j.Urgent, priority: j.Priority, mayBorrow: j.mayBorrow(),
	}
}

// queue holds the waiting jobs of one account and key in order of submission.
// It is a linked list, so that removing a job takes constant time.
type queue struct {
	key     queueKey
	account *account
	head    *job
	tail    *job
	length  int

	noPlaceStamp uint64 // capacityStamp at which no place was found
	noClaimStamp uint64 // claimStamp at which no block could hold the job
	// yieldUntil is when the first job need no longer yield blocks to larger
	// jobs, and yieldedPhase the phase in which it last did.
	yieldUntil       time.Time
	yieldedPhase     uint64
	sizeCheckedStamp uint64 // topologyGen+1 at which the jobs were found to be possible
}

// insert puts a job at its place in order of submission. It tries the head,
// where requeued jobs usually belong, and then searches from the tail, where
// new jobs belong.
func (q *queue) insert(j *job) {
	j.queue = q
	q.length++
	q.account.waiting++
	if q.head == nil || j.seq < q.head.seq {
		q.link(nil, j, q.head)
		return
	}
	prev := q.tail
	for prev.seq > j.seq {
		prev = prev.prev
	}
	q.link(prev, j, prev.next)
}

func (q *queue) link(prev, j, next *job) {
	j.prev, j.next = prev, next
	if prev == nil {
		q.head = j
	} else {
		prev.next = j
	}
	if next == nil {
		q.tail = j
	} else {
		next.prev = j
	}
}

func (q *queue) remove(j *job) {
	if j.prev == nil {
		q.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		q.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.prev, j.next, j.queue = nil, nil, nil
	q.length--
	q.account.waiting--
}

func (s *Scheduler) enqueue(j *job) {
	k := j.key()
	q := j.account.queueByKey[k]
	if q == nil {
		q = &queue{key: k, account: j.account}
		j.account.queueByKey[k] = q
		j.account.queueList = append(j.account.queueList, q)
	}
	q.insert(j)
}

// dequeue removes a job from its queue. Empty queues are removed once per
// decision, so that cancelling many jobs takes linear time.
func (s *Scheduler) dequeue(j *job) {
	if j.queue == nil {
		return
	}
	q := j.queue
	q.remove(j)
	if q.length == 0 {
		s.sweepNeeded = true
	}
}

// sweepQueues removes empty queues.
func (s *Scheduler) sweepQueues() {
	if !s.sweepNeeded {
		return
	}
	s.sweepNeeded = false
	for _, a := range s.accountList {
		kept := a.queueList[:0]
		for _, q := range a.queueList {
			if q.length > 0 {
				kept = append(kept, q)
				continue
			}
			delete(a.queueByKey, q.key)
		}
		clear(a.queueList[len(kept):])
		a.queueList = kept
	}
}
