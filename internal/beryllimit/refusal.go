package beryllimit

import (
	"fmt"
	"net/http"

	"berylroad.example/berylroad/internal/beryloutcome"
)

func overLimitRefusal(account *Account, d decision) *beryloutcome.Refusal {
	what := "its requests or tokens in time"
	if d.slotsExhausted {
		what = fmt.Sprintf("its %d requests in flight", account.Concurrent)
	}
	return &beryloutcome.Refusal{
		Status:     http.StatusTooManyRequests,
		Code:       beryloutcome.CodeOverLimit,
		Message:    fmt.Sprintf("The account %q has used up %s and the request was not run; come back after Retry-After.", account.Name, what),
		RetryAfter: max(d.wait, minRetryAfter),
	}
}

func tooManyTokensRefusal(account *Account) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusTooManyRequests,
		Code:    beryloutcome.CodeOverLimit,
		Message: fmt.Sprintf("One request may have at most %d tokens, the account's limit for a minute; send a lower max_tokens.", account.TokensPerMinute),
		Param:   "max_tokens",
	}
}
