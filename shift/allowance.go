package shift

// Allowance counts what one node has sent to the servers of a service since the order of a move. It is not safe for
// concurrent use.
type Allowance struct {
	order          int64
	total, exposed int
}

// Begin starts the counts of a move, unless they belong to it already.
func (a *Allowance) Begin(order int64) {
	if a.order != order {
		*a = Allowance{order: order}
	}
}

// Add counts a request that reached a server or may have reached it.
func (a *Allowance) Add(toNewVersion bool) {
	a.total++
	if toNewVersion {
		a.exposed++
	}
}

// Total returns the number of requests to all versions, and Exposed that of the requests to the new one.
func (a *Allowance) Total() int { return a.total }

// Exposed returns the number of requests to the new version.
func (a *Allowance) Exposed() int { return a.exposed }
