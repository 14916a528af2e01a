package side

import "time"

const (
	// firstShun and maxShun bound the time for which a feed that failed is left alone.
	firstShun = time.Second
	maxShun   = 8 * time.Second
	// watchedDomains is the number of failure domains whose reading node watches the store.
	watchedDomains = 2
)

// shunned is a feed that failed.
type shunned struct {
	until time.Time
	pause time.Duration
}

// relays returns the feeds from which this node reads, best first, and none when it reads from the store itself.
// In each failure domain the first of World.live reads from the store, and the next ones take its place.
func (s *Sync) relays() []string {
	const most = 2
	var list []string
	for _, e := range s.World.live(s.Domain) {
		if e.Calls == s.Self {
			return list
		}
		if e.Control == "" || s.isShunned(e.Control) {
			continue
		}
		if list = append(list, e.Control); len(list) == most {
			return list
		}
	}
	return list
}

// shun leaves a feed alone for a while.
func (s *Sync) shun(control string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shunned == nil {
		s.shunned = make(map[string]shunned)
	}
	now := s.Clock.Now()
	old := s.shunned[control]
	pause := firstShun
	if now.Sub(old.until) < old.pause {
		pause = min(2*old.pause, maxShun)
	}
	s.shunned[control] = shunned{until: now.Add(pause), pause: pause}
}

func (s *Sync) isShunned(control string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now().Before(s.shunned[control].until)
}

// watches reports whether this node is one of those that watch the store for all.
func (s *Sync) watches() bool {
	domains := s.World.domains()
	for _, domain := range domains[:min(len(domains), watchedDomains)] {
		if domain == s.Domain {
			return true
		}
	}
	return false
}
