package tenant

import (
	"math/bits"
	"time"
)

const (
	// decayTime is the age at which past work weighs 1/e. Replays with 2 s to 32 s differ little; the tenants of a server with
	// 73 of them ask for less than one request a second each, so that a shorter time would count too few.
	decayTime  = 8 * time.Second
	decayStep  = 250 * time.Millisecond
	decaySteps = 256 // steps after which nothing is left, since e^(-256/32) is 0.0003
	// decayFactor is the factor of one step, 1 - decayStep/decayTime.
	decayFactor = 1 - float64(decayStep)/float64(decayTime)
	// levelUnit is the recent work up to which tenants count as equal. It is the work of a few requests: less would let
	// chance decide, and the order by latest start would be lost among tenants of similar load.
	levelUnit = 400 * time.Millisecond
	// priorWork is the work that a tenant is assumed to have asked for in addition, of which the mean share was served. It
	// keeps a tenant with a single refused request from counting as starved.
	priorWork = 250 * time.Millisecond
	// starvedShare is the share of the mean below which a tenant is starved. The requirement is 0.25. In replays with 0.4,
	// tenants of lower priority fell to 0.17 at 2.1 times the capacity; with 0.5 the least was 0.35.
	starvedShare = 0.5
	// maxPreferredShare bounds the recent work of the server that is given to starved tenants before others. Without it, a
	// tenant that asks for many times what the server can do would be starved by that alone and take most of the room. With
	// 0.25, tenants of lower priority fell below the requirement.
	maxPreferredShare = 0.35
	// minAccounts is the number of accounts below which none is looked for to be removed.
	minAccounts = 64
)

type (
	// Shares decides which tenants come first at one server that is short of room. Tenants with less recent work come
	// first, so that each gets an equal share or all that it asks for, and what is left goes to those that ask for more.
	// A tenant of whose requests a much smaller share than usual was served comes before all others, whatever its
	// priority.
	//
	// The cost of a request is constant on average and does not depend on the number of tenants. The zero value is ready
	// to use. Its methods may not be called concurrently.
	Shares struct {
		accounts map[string]*account
		fraction float64 // sum of the fractions of all accounts
		pruneAt  int     // number of accounts from which unused ones are removed
		total    account // all work begun, as asked, and that of starved tenants, as served
	}

	// Rank orders the requests of tenants. The zero value is that of requests without a tenant.
	Rank struct {
		Starved bool // goes before requests that are not starved
		Level   int  // requests of a lower level go first
	}

	// account is the recent work of a tenant, in seconds. Asked and served decay; waiting does not.
	account struct {
		step     int64 // of the last decay
		asked    float64
		served   float64
		waiting  float64
		fraction float64 // share of the work asked for that was served
	}
)

var decayFactors = func() (factors [decaySteps]float64) {
	f := 1.0
	for i := range factors {
		factors[i] = f
		f *= decayFactor
	}
	return factors
}()

// Ask records that a tenant asks for work and returns the rank of the request.
func (s *Shares) Ask(now time.Time, name string, work time.Duration) Rank {
	a := s.account(now, name)
	r := Rank{
		Starved: a.fraction < starvedShare*s.mean() && s.total.served <= maxPreferredShare*s.total.asked,
		Level:   level(a.served + a.waiting),
	}
	a.asked += work.Seconds()
	s.update(a)
	return r
}

// Wait records that a request waits, or with a negative work that it does no longer.
func (s *Shares) Wait(now time.Time, name string, work time.Duration) {
	a := s.account(now, name)
	a.waiting = max(a.waiting+work.Seconds(), 0)
}

// Serve records work that was begun for a request of a tenant with a rank from Ask. A negative work corrects an earlier one
// that took less time.
func (s *Shares) Serve(now time.Time, name string, r Rank, work time.Duration) {
	a := s.account(now, name)
	s.total.decay(a.step)
	s.total.asked = max(s.total.asked+work.Seconds(), 0)
	if r.Starved {
		s.total.served = max(s.total.served+work.Seconds(), 0)
	}
	a.served = max(a.served+work.Seconds(), 0)
	s.update(a)
}

// Len returns the number of tenants with recent work.
func (s *Shares) Len() int { return len(s.accounts) }

// level returns 0 up to levelUnit, and one more for each doubling.
func level(work float64) int { return bits.Len64(uint64(work / levelUnit.Seconds())) }

// mean returns the mean fraction of all tenants, or 1 if there are none.
func (s *Shares) mean() float64 {
	if len(s.accounts) == 0 {
		return 1
	}
	return s.fraction / float64(len(s.accounts))
}

// account returns the account of a tenant with its decay up to now.
func (s *Shares) account(now time.Time, name string) *account {
	step := now.UnixNano() / int64(decayStep)
	a := s.accounts[name]
	if a == nil {
		if len(s.accounts) >= max(s.pruneAt, minAccounts) {
			s.prune(step)
		}
		a = &account{step: step, fraction: s.mean()}
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		s.accounts[name] = a
		s.fraction += a.fraction
		return a
	}
	a.decay(step)
	return a
}

// update sets the fraction of an account after a change of its work.
func (s *Shares) update(a *account) {
	prior := priorWork.Seconds()
	// For the conversion see decay.
	f := (a.served + float64(prior*s.mean())) / (a.asked + prior)
	s.fraction += f - a.fraction
	a.fraction = f
}

func (a *account) decay(step int64) {
	steps := step - a.step
	if steps <= 0 {
		return
	}
	a.step = step
	f := 0.0
	if steps < decaySteps {
		f = decayFactors[steps]
	}
	// The conversions keep processors with a fused multiply-add from giving other results.
	a.asked = float64(a.asked * f)
	a.served = float64(a.served * f)
}

// prune removes the accounts without recent work. It looks at all accounts, and then not before their number has doubled.
func (s *Shares) prune(step int64) {
	s.fraction = 0
	for name, a := range s.accounts {
		if a.decay(step); a.asked < priorWork.Seconds()/100 && a.waiting == 0 {
			delete(s.accounts, name)
			continue
		}
		s.fraction += a.fraction
	}
	s.pruneAt = 2 * len(s.accounts)
}
