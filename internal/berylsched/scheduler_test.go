package berylsched_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

func TestAcquireReleaseAndRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(2, 1), "h1", "h2", "h3")
		defer f.stop()
		ctx := context.Background()
		req := berylpermit.Request{Target: "m", Remaining: 300 * time.Millisecond}

		first, refusal := f.hosts["h1"].Acquire(ctx, req)
		is.Equal(refusal, nil)
		second, refusal := f.hosts["h2"].Acquire(ctx, req)
		is.Equal(refusal, nil)
		is.True(first.Upstream != second.Upstream) // each upstream has a single slot

		_, refusal = f.hosts["h3"].Acquire(ctx, req)
		is.True(refusal != nil)
		is.Equal(refusal.Code, beryloutcome.CodeNotRun)
		is.Equal(refusal.Status, 503)
		is.True(refusal.RetryAfter >= time.Second)

		first.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second})
		first.Release(berylpermit.Report{})
		time.Sleep(10 * time.Millisecond)
		third, refusal := f.hosts["h3"].Acquire(ctx, req)
		is.Equal(refusal, nil)
		is.Equal(third.Upstream, first.Upstream)

		_, refusal = f.hosts["h3"].Acquire(ctx, berylpermit.Request{Target: "nothing"})
		is.Equal(refusal.Code, beryloutcome.CodeNotFound)
	})
}

func TestOnlineDisplacesBatchAcrossHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(1, 1), "h1", "h2", "h3")
		defer f.stop()
		batch, refusal := f.hosts["h1"].Acquire(context.Background(), berylpermit.Request{
			Target: "m", Class: berylpermit.Batch, Remaining: time.Hour,
		})
		is.Equal(refusal, nil)

		start := time.Now()
		_, refusal = f.hosts["h2"].Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: time.Second})
		is.Equal(refusal, nil)
		is.True(time.Since(start) <= 2*hop) // only the request's round trip: the grant doesn't wait for the release
		<-batch.Yield
		is.True(time.Since(start) <= 4*hop)
	})
}
