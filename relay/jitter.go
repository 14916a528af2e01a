package relay

import (
	"time"

	"tanagershunt.example/shunt/peer"
)

// backoff returns the delay after a number of consecutive failures.
func (j *jitter) backoff(failures int) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return peer.FullJitter(j.rng, BackoffBase, BackoffCap, failures)
}

// vary returns a random duration, uniformly distributed between half and one and a half of d.
func (j *jitter) vary(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return d/2 + time.Duration(j.rng.Int64N(int64(d)+1))
}

func (j *jitter) shuffle(s []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rng.Shuffle(len(s), func(a, b int) { s[a], s[b] = s[b], s[a] })
}
