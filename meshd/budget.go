package meshd

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/retry"
)

const (
	// callsPerRun is the mean number of calls that the runs of one request make to one service, at most.
	callsPerRun = 2
	// usedRatioShare and usedSlackShare are the shares of the bounds that the retries of a service's own requests may
	// use. The calls that a server makes in the run of a retry count as retries at the service that receives them, and
	// nothing in a request tells that it is such a call. With a ratio r of retries, the runs of retries make r calls for
	// each first call, and of both together r may be retried once more: 2r + r*r in all, 0.188 for a bound of 0.2. Slack
	// is used by the retries of a calling service callsPerRun times, and by those of the called service: 0.954 in all.
	// The rest of the bounds is for windows that are not aligned with that of whoever counts. Calls of calls are not
	// covered.
	usedRatioShare = 0.45
	usedSlackShare = 0.9 / (1 + callsPerRun)
)

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	mu       sync.Mutex
	services map[string]*retry.SlidingBudget
}

// forService returns the retry budget of a service, with this node's share of the bounds for the whole mesh. The ratio
// applies to each node's own first arrivals, so its shares add up to the bound. The slack is divided by the number of
// nodes that have an entry: if those out of reach were left out, the parts of a divided mesh would each use all of it.
//
// Parts of a retry are rounded up at some nodes and down at others, by the rank of the node, so that many nodes with
// little traffic add up to the bound, to no less and no more.
func (b *retryBudgets) forService(
	service string, clock clockwork.Clock, bounds Bounds, rank, nodes int,
) *retry.SlidingBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = make(map[string]*retry.SlidingBudget)
	}
	budget := b.services[service]
	if budget == nil {
		budget = &retry.SlidingBudget{Clock: clock}
		b.services[service] = budget
	}
	nodes = max(nodes, rank+1)
	share := (usedSlackShare*bounds.RetrySlack + float64(rank) + 0.5) / float64(nodes)
	budget.SetBounds(bounds.RetryWindow, usedRatioShare*bounds.RetryRatio, share)
	return budget
}

// budget returns the retry budget of a service.
func (o *Outbound) budget(service string) *retry.SlidingBudget {
	rank, nodes := o.View.rank()
	return o.budgets.forService(service, o.Clock, o.Bounds(), rank, nodes)
}

// recordArrival counts the end of an attempt that was sent at the given time. Only the first arrival of a request at a
// server adds to the budget: a request that nodes refused before is none of the service's.
func (c *call) recordArrival(budget *retry.SlidingBudget, res *inboundResult, at time.Time) {
	if !res.delivered {
		return
	}
	c.retryTaken = time.Time{}
	if c.attempts++; c.attempts == 1 {
		budget.RecordFirst(at)
	}
}

// takeRetry takes a retry from the budget, if it has one. returnRetry gives it back if no server received the request
// since.
func (c *call) takeRetry(budget *retry.SlidingBudget) bool {
	allowed := budget.TryRetry()
	c.outbound.Meter.countRetry(allowed)
	if allowed {
		c.retryTaken = c.outbound.Clock.Now()
	}
	return allowed
}

func (c *call) returnRetry(budget *retry.SlidingBudget) {
	if !c.retryTaken.IsZero() {
		budget.Return(c.retryTaken)
	}
}
