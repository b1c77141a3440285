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

// Budgets holds the retry budget of each service.
type Budgets struct {
	share   float64
	mu      sync.Mutex // guards budgets
	budgets map[string]*dispatch.Budget
}

// NewBudgets returns budgets that allow each service a burst of retries, plus share
// retries per request.
func NewBudgets(share float64) *Budgets {
	return &Budgets{share: share, budgets: map[string]*dispatch.Budget{}}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service route.Service) *dispatch.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.budgets[service.Name]
	if !ok {
		burst := plainBurst
		if service.Engine != nil {
			burst = engineBurst
		}
		budget = dispatch.NewBudgetOf(b.share, float64(burst))
		b.budgets[service.Name] = budget
	}
	return budget
}
