package berylbatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// reportedPermits records the reports of the calls made under a cluster's permits.
type reportedPermits struct {
	*testCluster
	mu      sync.Mutex
	reports []berylpermit.Report
}

func (r *reportedPermits) Acquire(ctx context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	p, refusal := r.testCluster.Acquire(ctx, request)
	if refusal != nil {
		return nil, refusal
	}
	release := p.Release
	p.Release = func(report berylpermit.Report) {
		r.mu.Lock()
		r.reports = append(r.reports, report)
		r.mu.Unlock()
		release(report)
	}
	return p, nil
}

// TestItemStatusesThatPromiseNothing guards against items that are taken for not run because of the status alone, without the
// upstream's statement.
func TestItemStatusesThatPromiseNothing(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				permits := &reportedPermits{testCluster: cluster}
				cluster.permitsBroker, cluster.client = permits, &cluster.upstream
				cluster.upstream.status = func(id string) int {
					if cluster.upstream.callsByItem[id] == 1 {
						return status
					}
					return http.StatusOK
				}
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 1)), nil)
				results := readAll(t, a, "j", 1, 12*time.Second)
				is.Equal(string(results["j-0"].Text), eventText("j-0", 20))
				permits.mu.Lock()
				defer permits.mu.Unlock()
				is.Equal(permits.reports[0].Kind, beryloutcome.Unknown)
				is.Equal(permits.reports[0].Refused, false)
				is.Equal(permits.reports[1].Kind, beryloutcome.Answered)
			})
		})
	}
}
