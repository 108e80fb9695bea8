package berylrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylaccount"
	"berylroad.example/berylroad/internal/beryldrain"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylquarantine"
	"berylroad.example/berylroad/internal/berylresponse"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylversion"
)

const (
	// maxSends bounds the upstreams that are tried for one request, including those that refuse it without running
	// it.
	maxSends = 4
	// maxBufferedBytes bounds how much of an answer that is not a stream is held back until it is complete. Up to
	// this size, a call that breaks off may be repeated; a longer answer is passed on as it arrives.
	maxBufferedBytes = 256 << 10
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// passBufferBytes is the size of the buffer for passing on a long answer.
	passBufferBytes = 16 << 10
	// eventBufferBytes is the size of the read buffer of one stream. Events are a few hundred bytes long.
	eventBufferBytes = 4 << 10
	// stallFactor times the route's EventGapTarget is how long a resumable stream may be silent before another
	// upstream continues it.
	stallFactor = 2
	// minStallTimeout bounds that time from below: an engine that processes a long prompt between two tokens has not
	// failed.
	minStallTimeout = 700 * time.Millisecond
	// defaultStallTimeout applies if a route has no EventGapTarget.
	defaultStallTimeout = 2 * time.Second
	// maxQueueWaitShare is the share of the route's FirstEventTarget that a request may be predicted to wait in a
	// queue. The rest is for the engine and for errors of the prediction (see TestReplicasLostUnderPeak in
	// berylsched).
	maxQueueWaitShare = 0.5
	// maxOriginWait bounds the wait of a stream that may go on at one version only for an upstream of that version. The
	// owners of some may be lost, which takes about that long to be known, and callers of such streams wait longer still.
	maxOriginWait = 2 * time.Second
	// originRetryInterval is the pause between two attempts in that time.
	originRetryInterval = 100 * time.Millisecond
	// versionPollInterval is the pause between two looks whether a version may begin streams.
	versionPollInterval = 10 * time.Millisecond
	// versionRetryAfter is the Retry-After if no version may begin streams or the origin of a stream is not known.
	versionRetryAfter = time.Second
	// soundEvents is how many events show that a request does not crash the upstream that runs it. One that crashes as it begins may
	// have sent the first before.
	soundEvents = 3
	// noPathRetryAfter is the Retry-After if this host reaches no upstream and no other host carries its calls. The caller's next
	// attempt comes to another host.
	noPathRetryAfter = 200 * time.Millisecond
	// minRetryAfter is the shortest Retry-After sent to a refused caller.
	minRetryAfter = 100 * time.Millisecond
)

var (
	// errStalled ends a call whose upstream has been silent for too long.
	errStalled = errors.New("the upstream fell silent")
)

// Sink receives an answer.
type Sink interface {
	// Start receives the head of the answer. length is the length of the body, or -1 if it is not known yet, as for a
	// stream.
	Start(status int, header []HeaderField, length int) error
	// Write receives the next part of the body. An answer of known length comes in one part, which the sink may keep.
	Write(part []byte) error
}

// Request is one request of a caller.
type Request struct {
	// ID is the request's ID as its caller sent it.
	ID string
	// Route is the route that the request matches.
	Route *berylroute.Route
	// Method, Path and Host are as the caller sent them.
	Method, Path, Host string
	// Header holds the header fields to pass on.
	Header []HeaderField
	// Body is the complete request body.
	Body []byte
	// Deadline is when the caller's or the route's timeout ends.
	Deadline time.Time
	// Tokens is the estimated length of the answer in tokens.
	Tokens int
	// PromptTokens is the length of the prompt in tokens, or zero if unknown.
	PromptTokens int
	// PrefixHash is equal for prompts that begin alike; zero means unknown.
	PrefixHash uint64
	// TakesUp says that the caller has events of the stream already and asks for the rest.
	TakesUp bool
	// FirstAttempt is the ID of the caller's attempt that brought the first event of the stream, or empty if the caller
	// does not name it.
	FirstAttempt string
	// PromptParts names the parts of the prompt that other prompts may hold too, in order.
	PromptParts []string
	// Account is the client account that sent the request; nil means that there are no accounts or the route is public.
	Account *berylaccount.Account
	// HasAccounts says that the deployment has client accounts.
	HasAccounts bool
	// Caller identifies who sent the request; the same caller may send it again under another ID. It contains no key.
	Caller string
}

// accountName returns the name of the request's account, or an empty string.
func (r *Request) accountName() string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}

// Relay carries requests to upstreams.
type Relay struct {
	// Permits grants the permits to call upstreams.
	Permits berylpermit.Broker
	// Upstreams holds the known upstreams.
	Upstreams *berylroute.Registry
	// Client sends requests to upstreams.
	Client UpstreamClient
	// Versions keeps streams at the software version that began them; nil lets them go on anywhere.
	Versions *berylversion.Versions
	// Quarantine refuses prompts with parts that crash upstreams; nil refuses none.
	Quarantine *berylquarantine.Quarantine
	// Limits holds requests to the limits of their accounts; nil means no limits.
	Limits Limits
	// Memory bounds the parts of answers that are held at once: answers that are not streams until they are complete, and long events.
	// Nil means no bound.
	Memory *berylresponse.Budget
	// Stop is the planned stop of this host; nil means that it never stops.
	Stop *beryldrain.Stop
	// Log receives one line for each request.
	Log logrus.FieldLogger
	// Metrics receives counts and times; nil records none.
	Metrics *metrics.Set
}

// Do carries one request to its end. ctx ends when the caller disconnects.
func (r *Relay) Do(ctx context.Context, request *Request, sink Sink) beryloutcome.Result {
	x := exchange{Relay: r, request: request, sink: sink, startedAt: time.Now(), service: request.Route.Service(request.ID)}
	x.prompt.Parts = request.PromptParts
	if r.Quarantine != nil {
		x.prompt.Requests = berylquarantine.RequestKeys(request.Caller, request.Method, request.Host, request.Path, request.Body)
	}
	requestCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	result, admitted := x.admit(requestCtx)
	if admitted {
		result = x.run(requestCtx)
		x.settle()
	}
	if result.Kind == beryloutcome.Answered && !request.TakesUp {
		r.Stop.Observe(x.drainRequest(), time.Since(x.startedAt))
	}
	if ctx.Err() != nil && result.Kind != beryloutcome.Answered {
		result.Kind = beryloutcome.Cancelled
	}
	x.logResult(result)
	return result
}

// exchange is the state of one request while it is relayed.
type exchange struct {
	*Relay
	request   *Request
	sink      Sink
	startedAt time.Time
	service   string
	// origin is where the stream began, if hasOrigin is set. It goes on nowhere else.
	origin    berylversion.Origin
	hasOrigin bool
	// originRecorded marks that the origin has been noted for later attempts.
	originRecorded bool
	// originSource is how the origin of a stream that the caller takes up is known.
	originSource berylversion.Source
	// prompt is what the quarantine knows of the request.
	prompt berylquarantine.Prompt
	// triedUpstreams names the upstreams that were granted so far. None of them is granted to the request again.
	triedUpstreams []string
	// sends counts the upstreams that the request was sent to, possibleRuns those that may have run it.
	sends, possibleRuns int
	// admission is what the limit of the account admitted; nil without a limit.
	admission Admission
	// started marks that the sink has received the head of the answer.
	started bool
	// hasEvent marks that the sink has received a numbered event, lastEvent is the number of the last one.
	hasEvent  bool
	lastEvent int64
	// permitWait is the time spent waiting for permits, timeToFirstEvent the time until the first event was passed
	// on.
	permitWait, timeToFirstEvent time.Duration
	// lastProgress is when the current call began or, if later, last received a new event or a part of a body.
	lastProgress time.Time
	upstream     string
	// grantedBy is the owner that granted the current call, carriedBy the host that carried it, if another one did, and statement
	// what its answer says about the upstream.
	grantedBy string
	carriedBy string
	statement berylpermit.Statement
	// calledUpstream is the upstream of the current call, sentAt when the call was sent.
	calledUpstream berylroute.Upstream
	sentAt         time.Time
	// brokeUnanswered marks that a call broke off before the upstream had begun to answer, brokeEarly that one broke off before
	// soundEvents events.
	brokeUnanswered, brokeEarly bool
	cause                       error
}

// step says whether the request ends after a call, is sent to another upstream, or fails.
type step uint8

const (
	stepDone step = iota
	stepRetry
	stepFail
)

func (x *exchange) run(ctx context.Context) beryloutcome.Result {
	if err := x.resolveOrigin(ctx); err != nil {
		return x.resultUnknownOrigin(err)
	}
	for {
		if refusal := x.Quarantine.Refusal(x.prompt); refusal != nil {
			return x.resultQuarantined(ctx, refusal)
		}
		if !x.mayStart() {
			return x.resultStopping()
		}
		permit, refusal := x.acquire(ctx)
		if refusal != nil {
			return x.resultWithoutPermit(ctx, refusal)
		}
		switch x.call(ctx, permit) {
		case stepDone:
			return x.result(beryloutcome.Answered, nil)
		case stepFail:
			return x.failedResult(ctx)
		case stepRetry:
		}
		if ctx.Err() != nil || x.sends >= maxSends {
			return x.failedResult(ctx)
		}
	}
}

// call makes one call under a permit.
func (x *exchange) call(ctx context.Context, permit *berylpermit.Permit) step {
	report := berylpermit.Report{Kind: beryloutcome.NotRun}
	began := time.Now()
	x.lastProgress = began
	defer func() {
		report.HeldFor = time.Since(began)
		permit.Release(report)
	}()
	x.upstream, x.grantedBy = permit.Upstream, permit.GrantedBy
	x.triedUpstreams = append(x.triedUpstreams, permit.Upstream)
	upstream, known := x.Upstreams.Get(permit.Upstream)
	if !known || upstream.Leaving || upstream.Service != x.service || !x.admitsVersion(&upstream) {
		x.cause = errors.New("the granted upstream is leaving, gone or at another version")
		return stepRetry
	}
	if !x.mayStart() {
		x.cause = beryldrain.ErrStopping
		return stepRetry
	}
	// A verdict may have been passed while the request waited for its permit.
	if refusal := x.Quarantine.Admit(ctx, x.prompt); refusal != nil {
		x.cause = refusal
		return stepRetry
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.sends++
	x.calledUpstream, x.sentAt = upstream, time.Now()
	last := !x.mayRunAgain(x.possibleRuns + 1) // the call under way counts as a run once it has been sent
	stall := x.watchStall(last, cancel)
	defer stall.stop()
	reply, err := x.Client.Call(callCtx, x.newCall(upstream, last))
	if err != nil {
		if !errors.Is(err, ErrUnsent) {
			x.countRun()
		}
		return x.handleFailure(callCtx, &report, err)
	}
	defer reply.Body.Close()
	x.statement, x.carriedBy = reply.Statement, reply.CarriedBy
	permit.ReportStatement(reply.Statement)
	if reply.NotRun {
		report.Refused, report.Fault = true, reply.Misdirected
		x.cause = errors.Newf("the upstream refused it unrun with status %d", reply.Status)
		return stepRetry
	}
	x.countRun()
	if !reply.Signed {
		return x.handleFailure(callCtx, &report, errors.Newf("the answer with status %d has no signature", reply.Status))
	}
	if !beryloutcome.MayPassStatus(reply.Status, x.request.Route.Repeatable(), reply.NotRun) {
		return x.withholdStatus(reply.Status, &report)
	}
	if reply.EventStream && reply.Status == http.StatusOK {
		return x.passEvents(callCtx, reply, stall, &report, began)
	}
	return x.passBody(callCtx, reply, stall, &report)
}

func (x *exchange) newCall(upstream berylroute.Upstream, last bool) *Call {
	return &Call{
		Upstream:    upstream,
		ID:          x.request.ID,
		Method:      x.request.Method,
		Path:        x.request.Path,
		Host:        x.request.Host,
		Header:      x.request.Header,
		Body:        x.request.Body,
		Account:     x.request.accountName(),
		HasAccounts: x.request.HasAccounts,
		Timeout:     time.Until(x.request.Deadline),
		Resume:      x.hasEvent,
		ResumeAfter: x.lastEvent,
		Last:        last,
	}
}
