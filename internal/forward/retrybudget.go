package forward

import (
	"sync"

	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/route"
)

// Bursts of retries that an instance may send beyond its share.
const (
	// engineBurst lets the streams of an instance resume when a failure domain crashes:
	// a few at each instance, each with up to three attempts.
	engineBurst = 16
	// plainBurst is smaller, because the calls of all instances go to the same few
	// upstreams when those refuse them.
	plainBurst = 4
)

// RetryBudgets holds the retry budget of each service.
type RetryBudgets struct {
	share   float64
	mu      sync.Mutex // guards budgets
	budgets map[string]*dispatch.RetryBudget
}

// NewRetryBudgets returns budgets that allow each service a burst of retries, plus share
// retries per request.
func NewRetryBudgets(share float64) *RetryBudgets {
	return &RetryBudgets{share: share, budgets: map[string]*dispatch.RetryBudget{}}
}

// For returns the budget of a service.
func (b *RetryBudgets) For(service route.Service) *dispatch.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.budgets[service.Name]
	if !ok {
		burst := plainBurst
		if service.Engine != nil {
			burst = engineBurst
		}
		budget = dispatch.NewRetryBudgetWith(b.share, float64(burst))
		b.budgets[service.Name] = budget
	}
	return budget
}
