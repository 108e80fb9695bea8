package berylrelay

import (
	"context"

	"berylroad.example/berylroad/internal/berylaccount"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// Limits holds requests to the limits of their accounts over all hosts.
type Limits interface {
	// Admit admits one request or refuses it. The admission is nil if the account has no limit.
	Admit(ctx context.Context, account *berylaccount.Account) (Admission, *beryloutcome.Refusal)
}

// Admission is one request that was admitted by the limit of its account.
type Admission interface {
	// Refund gives the request back, since no upstream has run it or will run it.
	Refund()
	// Charge counts a further send that an upstream may have run.
	Charge()
}

// admit asks the limit of the request's account, and returns the result of the request if it is refused.
func (x *exchange) admit(ctx context.Context) (beryloutcome.Result, bool) {
	if x.Limits == nil || x.request.Account == nil {
		return beryloutcome.Result{}, true
	}
	admission, refusal := x.Limits.Admit(ctx, x.request.Account)
	if refusal != nil {
		x.cause = refusal
		return x.result(beryloutcome.NotRun, refusal), false
	}
	x.admission = admission
	return beryloutcome.Result{}, true
}

// countRun notes that an upstream may have run the request. The first run is the one that was admitted.
func (x *exchange) countRun() {
	x.possibleRuns++
	if x.admission != nil && x.possibleRuns > 1 {
		x.admission.Charge()
	}
}

// settle gives back the admission of a request that no upstream has run.
func (x *exchange) settle() {
	if x.admission != nil && x.possibleRuns == 0 {
		x.admission.Refund()
	}
}
