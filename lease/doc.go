// Package lease elects one leader among the processes that compete for a named
// election. The leader holds a lease in the store, and its fencing epoch grows with
// every change of leader.
//
// Elector is the pure state machine; Candidate runs it against a store.Store; a
// receiver of a leader's orders checks their epoch with a Fence. A Session lets all
// Candidates of a process share one lease, so that the number of elections does not
// multiply the calls to the store.
//
// # Keys
//
//	duty/NAME/holder   the leader; bound to the leader's lease
//	duty/NAME/epoch    the last epoch; has no lease, so it outlives every leader
//	session/DOMAIN/ID  a Session's own key, bound to its lease ID
//
// A candidate creates the holder key, raises the epoch, and reads the holder key again.
// Only if the key is still its own is it the leader, with the epoch that it raised. The
// key was its own without interruption in between, so nobody else led while the epoch
// was raised, and the next leader raises it again afterwards. Epochs therefore grow
// strictly from leader to leader. Raising the epoch before creating the key would not
// be safe: a delayed creation could bring an older epoch into effect.
//
// A Session tells its Candidates of each renewal. It rewrites its own key after every
// claim and reads it after every renewal: finding the value written last proves that
// the store still has all claims made before that write. No other key is read while
// nothing changes. One watch of the domain reports vacant elections to candidates, and
// deleted holder keys to leaders.
//
// # Guarantees
//
// At most one Candidate's Current reports true at any time, while the clock rates of
// process and store differ by less than 2% and nobody revokes the lease or deletes the
// holder key of a live leader. After such an interference the former leader's Current
// may report true until its next renewal, or until its lease would have expired if the
// store can't be reached; its epoch is the lower one.
//
// Current alone does not make orders safe: a process may be paused between calling
// Current and acting, and resume when another process leads. Orders are safe because
// each one carries the epoch and the receiver's Fence refuses lower ones. Current
// avoids sending orders that would be refused.
//
// While the store is unavailable, a leader remains leader until its lease could have
// expired. From then on there is no leader until the store is back.
//
// A store restored from a backup may issue epochs a second time. A leader that is
// refused because of a higher epoch reports it by Candidate.ObserveEpoch and continues
// with an epoch above it. Two processes may lead with equal epochs for up to one TTL
// after a restore; a Fence can't tell them apart.
package lease
