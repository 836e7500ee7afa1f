package engine

import "time"

// The constants of packages nodeagent and gateway.
const (
	simOrderTimeout     = 250 * time.Millisecond
	simStartAttempts    = 3
	simMinGrantForStart = time.Second
	simOrdersTimeout    = 1500 * time.Millisecond
	simMaxOrderAge      = 2 * time.Second
	simStartLimit       = simMaxOrderAge + simStartAttempts*simOrderTimeout
)

// simCall is one call of an agent to its worker.
type simCall struct {
	agent *simAgent
	done  bool
	lost  bool // its reply is lost
	then  func(result any, err error)
	// sentAt is when it was sent.
	sentAt time.Duration
}

// newCall returns a call that fails after a timeout. A later reply is ignored.
func (a *simAgent) newCall(timeout time.Duration, then func(result any, err error)) *simCall {
	c := &simCall{agent: a, then: then, sentAt: a.cluster.now}
	a.after(timeout, func() { c.finish(nil, errSimTimeout) })
	return c
}

func (c *simCall) finish(result any, err error) {
	if !c.done {
		c.done = true
		c.then(result, err)
	}
}

// reply sends the worker's reply.
func (c *simCall) reply(result any, err error) {
	if c.lost {
		return
	}
	w := c.agent.cluster
	w.after(w.delays.latency(w, callReplyMessage), func() {
		c.agent.do(func() { c.finish(result, err) })
	})
}

// send delivers the call to the incarnation, which carries it out.
func (c *simCall) send(inc *simIncarnation, carryOut func(sw *simWorker)) {
	w := c.agent.cluster
	w.after(w.delays.latency(w, callMessage), func() { c.arrive(inc.worker, carryOut) })
}

// arrive carries out the call if the incarnation is there. A worker that does not answer carries it
// out at once without a reply, or late.
func (c *simCall) arrive(sw *simWorker, carryOut func(sw *simWorker)) {
	w := c.agent.cluster
	if sw.info.Name != "" {
		sw = sw.latest()
	}
	switch {
	case sw.dead && w.workers[c.agent.slot].dead:
		c.reply(nil, errSimConnectionRefused)
	case sw.dead:
		c.reply(nil, errSimOtherIncarnation)
	case w.now < sw.silentUntil && sw.carriesOutSilently:
		c.lost = true
		carryOut(sw)
	case w.now < sw.silentUntil:
		w.after(sw.silentUntil-w.now, func() {
			if sw.dead {
				c.reply(nil, errSimConnectionLost) // it waited in the ended process
				return
			}
			c.arrive(sw, carryOut)
		})
	default:
		carryOut(sw)
	}
}

// deliverByAgent sends orders over the connection of the last report that the planner handled.
func (w *simCluster) deliverByAgent(e *Engine, o Orders) {
	answered := false
	answer := func(results []StartResult) {
		if !answered {
			answered = true
			w.atPlanner(func() {
				if e == w.engine {
					e.Step(w.now, OrdersCompleted{Worker: o.Worker, Starts: results})
				}
			})
		}
	}
	a := w.delays.connections[agentConnection{e, o.Agent}]
	if a == nil || a.over {
		answer(uniformResults(o, StartNotDelivered))
		return
	}
	w.after(simOrdersTimeout, func() { answer(uniformResults(o, StartUnknown)) })
	d := w.delays.latency(w, orderMessage)
	if a.cut() {
		return
	}
	w.after(d, func() {
		if a.cut() {
			return
		}
		a.do(func() {
			a.execute(e.epoch, o, func(results []StartResult) {
				w.after(w.delays.latency(w, orderReplyMessage), func() {
					if !a.cut() {
						answer(results)
					}
				})
			})
		})
	})
}

func uniformResults(o Orders, outcome StartOutcome) []StartResult {
	var results []StartResult
	for _, s := range o.Starts {
		results = append(results, StartResult{Run: s.Run, Outcome: outcome})
	}
	return results
}

// execute carries out all orders concurrently and replies when all are done.
func (a *simAgent) execute(epoch uint64, o Orders, reply func([]StartResult)) {
	header, outcome, inc := a.admit(epoch, o)
	results := uniformResults(o, outcome)
	pending := 1
	finish := func() {
		if pending--; pending == 0 {
			reply(results)
			if inc != nil && len(o.Stops) > 0 {
				a.poll(inc, 0, func(time.Duration) {})
			}
		}
	}
	if outcome == StartOK {
		for i, s := range o.Starts {
			pending++
			a.unansweredStarts[s.Run] = a.cluster.now
			a.start(inc, header, o, s, 0, func(result StartResult) {
				results[i] = result
				finish()
			})
		}
	}
	if inc != nil {
		for _, run := range o.Stops {
			pending++
			call := a.newCall(simOrderTimeout, func(_ any, err error) {
				if err == nil {
					inc.confirmedStops[run] = a.cluster.now
				}
				finish()
			})
			call.send(inc, func(sw *simWorker) {
				if !sw.stop(a.cluster.now, header.fence, run) {
					call.reply(nil, errSimFenced)
					return
				}
				call.reply(nil, nil)
			})
		}
	}
	finish()
}

// admit checks whether orders are for the current incarnation and from the newest planner.
func (a *simAgent) admit(epoch uint64, o Orders) (simPoll, StartOutcome, *simIncarnation) {
	if epoch < a.epoch {
		return simPoll{}, StartFenced, nil
	}
	a.raiseEpoch(epoch)
	inc, now := a.inc, a.cluster.now
	if inc == nil || inc.info.ID != o.Worker {
		return simPoll{}, StartNotDelivered, nil
	}
	until := time.Duration(0)
	if o.Grant.Process == a.origin.Process {
		until = min(a.grantedUntil, o.Grant.BuiltAt+simMaxLease)
	}
	header := simPoll{fence: inc.fence, until: inc.workerTime(until)}
	switch {
	case inc.draining:
		return header, StartDraining, inc
	case header.until == 0 || inc.unresponsive || inc.capacityUnconfirmed || inc.leaseMayHaveExpired(now) || until-now < simMinGrantForStart || now > o.Grant.BuiltAt+o.DecidedAfter+simMaxOrderAge:
		return header, StartNotDelivered, inc
	}
	inc.extendLease(until)
	return header, StartOK, inc
}

// start retries a start until the worker answers.
func (a *simAgent) start(inc *simIncarnation, header simPoll, o Orders, s StartOrder, attempt int, then func(StartResult)) {
	call := a.newCall(simOrderTimeout, func(result any, err error) {
		outcome, _ := result.(StartOutcome)
		if err == errSimOtherIncarnation {
			outcome = StartNotDelivered
		} else if err != nil {
			outcome = StartUnknown
		}
		unanswered := attempt > 0 || outcome == StartUnknown
		if outcome != StartOK && attempt > 0 {
			outcome = StartUnknown // an earlier attempt may have succeeded
		}
		tooLate := a.cluster.now > o.Grant.BuiltAt+o.DecidedAfter+simStartLimit-simOrderTimeout
		if outcome == StartUnknown && attempt+1 < simStartAttempts && !tooLate {
			a.start(inc, header, o, s, attempt+1, then)
			return
		}
		a.unansweredStarts[s.Run] = a.cluster.now
		if !unanswered {
			delete(a.unansweredStarts, s.Run)
		}
		then(StartResult{Run: s.Run, Outcome: outcome, CallUnanswered: unanswered})
	})
	call.send(inc, func(sw *simWorker) {
		if sw != inc.worker && a.cluster.unfenceableStart(sw, s) {
			return
		}
		call.reply(sw.start(a.cluster.now, header.fence, s, header.until), nil)
	})
}

// unfenceableStart reports whether a start for an earlier incarnation of sw repeats a run that is done,
// before anything has fenced sw. Another call has started that run. The worker can't tell such a start
// from a current one, and nothing that the planner may still decide depends on it, so the simulation
// drops it.
func (w *simCluster) unfenceableStart(sw *simWorker, s StartOrder) bool {
	return !sw.fenced && w.doneRuns[s.Run]
}
