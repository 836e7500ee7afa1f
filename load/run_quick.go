package load

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
)

// runQuick sends one quick request. If an entry does not answer, it retries with the next one,
// using the same idempotency key or relying on the request being repeatable.
func (r *runner) runQuick(ctx context.Context, entryIndex int, a Arrival, q *QuickResult) {
	l := a.Quick.Load
	*q = QuickResult{
		Tag:        r.runID + "-" + a.Tag,
		Account:    l.Account,
		Class:      l.Class,
		Repeatable: l.Repeatable,
		Scheduled:  r.startedAt.Add(a.At),
	}
	req := r.newQuickRequest(q.Tag, a.Quick)
	var resendTries []Try
	var wg sync.WaitGroup
	if a.Quick.Resend {
		wg.Go(func() { resendTries = r.sendQuick(ctx, entryIndex+1, req, true) })
	}
	q.Tries = r.sendQuick(ctx, entryIndex, req, a.Quick.Resend)
	q.Latency = time.Since(q.Scheduled)
	firstDone := outcomeOf(q.Tries) == api.OutcomeDone
	wg.Wait()
	if len(resendTries) > 0 && !firstDone {
		q.Latency = time.Since(q.Scheduled)
	}
	q.Tries = append(q.Tries, resendTries...)
}

func (r *runner) newQuickRequest(tag string, a *QuickArrival) *api.QuickRequest {
	query := url.Values{}
	query.Set(standin.ParamTag, tag)
	query.Set(standin.ParamServiceTimeMS, strconv.FormatFloat(a.ServiceTime.Seconds()*1000, 'f', 3, 64))
	query.Set(standin.ParamPaddingBytes, strconv.Itoa(a.Load.ResponsePadding))
	req := &api.QuickRequest{
		CallOptions: api.CallOptions{
			Account:    a.Load.Account,
			Class:      a.Load.Class,
			Deadline:   time.Duration(a.Load.Deadline),
			Repeatable: &a.Load.Repeatable,
		},
		Service:  r.plan.Service,
		Path:     a.Load.Class,
		RawQuery: query.Encode(),
		Body:     []byte(tag),
	}
	if !a.Load.Repeatable || a.Resend {
		req.IdempotencyKey = tag
	}
	return req
}

// sendQuick tries the entries in turn until one answers. resent reports whether the request is
// also sent through another entry, in which case no delivery is certainly the first.
func (r *runner) sendQuick(ctx context.Context, entryIndex int, req *api.QuickRequest, resent bool) []Try {
	var tries []Try
	for i := range maxTries {
		delivery := *req
		delivery.FirstDelivery = i == 0 && !resent && req.IdempotencyKey != ""
		t := r.sendQuickOnce(ctx, entryIndex+i, &delivery)
		tries = append(tries, t)
		if t.Answered || !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			break
		}
	}
	return tries
}

func (r *runner) sendQuickOnce(ctx context.Context, entryIndex int, req *api.QuickRequest) Try {
	ctx, cancel := context.WithTimeout(ctx, req.Deadline+answerGrace)
	defer cancel()
	client, entryURL := r.entryAt(entryIndex)
	ans, err := client.SendQuick(ctx, *req)
	if err != nil {
		return failedTry(entryURL, err)
	}
	t := Try{Entry: entryURL, Answered: true, Outcome: ans.Outcome, RequestID: ans.RequestID}
	if ans.Problem != nil {
		t.Reason = ans.Problem.Reason
	}
	if ans.Outcome == api.OutcomeDone {
		t.Checksum, t.BodyError = verifyEcho(req, ans.Body)
	}
	return t
}

func failedTry(entry string, err error) Try {
	return Try{Entry: entry, NotSent: errors.Is(err, api.ErrNotSent), TransportError: err.Error()}
}
