package forward

import (
	"sync"

	"foxtailhub.example/foxtailhub/internal/dispatch"
)

// Budgets holds the retry budget of each service.
type Budgets struct {
	share    float64
	capacity float64
	mu       sync.Mutex // guards budgets
	budgets  map[string]*dispatch.Budget
}

// NewBudgets returns budgets that allow, for each service, share repeats for
// each request, and a burst of capacity.
func NewBudgets(share, capacity float64) *Budgets {
	return &Budgets{share: share, capacity: capacity, budgets: map[string]*dispatch.Budget{}}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *dispatch.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.budgets[service]
	if !ok {
		budget = dispatch.NewBudgetOf(b.share, b.capacity)
		b.budgets[service] = budget
	}
	return budget
}
