package meshd

import "time"

const (
	// minFeedBackoff and maxFeedBackoff bound the time during which a failed feed is not read.
	minFeedBackoff = time.Second
	maxFeedBackoff = 8 * time.Second
	// watchingDomains is the number of failure domains, first by name, in which the node that reads the store waits
	// only for watcherStoreWait. It thus monitors the store for the whole mesh.
	watchingDomains = 2
)

// feedBackoff is the backoff of a failed feed.
type feedBackoff struct {
	until time.Time
	pause time.Duration
}

// relays returns the addresses of the feeds from which this node may read, in the order of MeshView.liveEntries
// (fastest link first), up to this node's own entry; only the first one is read. It returns none if the node reads the
// store itself, or if the feeds of all nodes ordered before this one are backed off. In each failure domain the first
// node of MeshView.liveEntries reads the store, and the next ones replace it if it fails.
func (s *StateSync) relays() []string {
	const maxRelays = 2
	var relays []string
	for _, e := range s.View.liveEntries(s.Domain) {
		if e.Calls == s.Self {
			return relays
		}
		if e.Control == "" || s.isBackedOff(e.Control) {
			continue
		}
		if relays = append(relays, e.Control); len(relays) == maxRelays {
			return relays
		}
	}
	return relays
}

// successor returns the feed of the first node of the failure domain that is ordered after this one and whose feed is not
// backed off. It is empty if there is none.
func (s *StateSync) successor() string {
	passed := false
	for _, e := range s.View.liveEntries(s.Domain) {
		if passed && e.Control != "" && !s.isBackedOff(e.Control) {
			return e.Control
		}
		passed = passed || e.Calls == s.Self
	}
	return ""
}

// backOffFeed stops reads from a feed for minFeedBackoff, or longer if it failed again soon after the last backoff.
func (s *StateSync) backOffFeed(feedAddr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feedBackoffs == nil {
		s.feedBackoffs = make(map[string]feedBackoff)
	}
	now := s.Clock.Now()
	old := s.feedBackoffs[feedAddr]
	pause := minFeedBackoff
	if now.Sub(old.until) < old.pause {
		pause = min(2*old.pause, maxFeedBackoff)
	}
	s.feedBackoffs[feedAddr] = feedBackoff{until: now.Add(pause), pause: pause}
}

func (s *StateSync) isBackedOff(feedAddr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now().Before(s.feedBackoffs[feedAddr].until)
}

// watchesStore reports whether this node is in a failure domain that monitors the store for the whole mesh.
func (s *StateSync) watchesStore() bool {
	domains := s.View.domains()
	for _, domain := range domains[:min(len(domains), watchingDomains)] {
		if domain == s.Domain {
			return true
		}
	}
	return false
}
