package meshd

import (
	"context"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

const (
	// lostTimeout bounds a call for lost records. A starting node makes at most maxLostCalls calls for each topic.
	lostTimeout  = 250 * time.Millisecond
	maxLostCalls = 3
)

// addLost adds the records that the store may have lost in a restore, as far as another node knows them, to the first read
// of a topic. Without them, a node that starts after a restore puts an older configuration in force than the other nodes, or
// takes a leaving server back.
func (f *follower) addLost(ctx context.Context, records []shunt.KeyedRecord, next shunt.Position) []shunt.KeyedRecord {
	if f.topic == topicMesh {
		// The entries have the addresses of the nodes to ask.
		f.apply(topicRead{records: records, next: next, whole: true})
	}
	for _, addr := range f.sync.lostSources() {
		lost, err := f.sync.readLost(ctx, addr, f.topic, next.Era)
		if err != nil {
			log.WithError(err).WithFields(log.Fields{"topic": f.topic, "feed": addr}).Debug("cannot read lost records")
			continue
		}
		if len(lost) == 0 {
			continue // the node may have started after the restore too
		}
		log.WithFields(log.Fields{"topic": f.topic, "feed": addr, "records": len(lost), "era": next.Era}).
			Info("read records that the store has lost")
		return append(lost, records...)
	}
	return records
}

// lostSources returns the addresses of the feeds that are asked for lost records, those of the own failure domain first.
func (s *StateSync) lostSources() []string {
	domains := []string{s.Domain}
	for _, domain := range s.View.domains() {
		if domain != s.Domain {
			domains = append(domains, domain)
		}
	}
	var list []string
	for _, domain := range domains {
		for _, e := range s.View.liveEntries(domain) {
			if e.Calls == s.Self || e.Control == "" {
				continue
			}
			if list = append(list, e.Control); len(list) == maxLostCalls {
				return list
			}
		}
	}
	return list
}

// readLost returns the records of earlier eras that another node knows. It fails if that node has not read the topic.
func (s *StateSync) readLost(ctx context.Context, addr, topic string, era int64) ([]shunt.KeyedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, lostTimeout)
	defer cancel()
	args, reply := FeedArgs{Topic: topic, From: -1, Era: era, Eras: true, Lost: true}, FeedReply{}
	if err := s.Peers.Call(ctx, addr, feedService, feedService+".Follow", args, &reply); err != nil {
		return nil, err
	}
	if reply.Era == 0 {
		return nil, errEraUnknown
	}
	records, err := unpack(reply.Packed)
	if err != nil {
		return nil, err
	}
	var lost []shunt.KeyedRecord
	for _, k := range records {
		if k.Era > 0 && k.Era < era && k.Offset >= 0 && k.Offset <= maxOffset {
			lost = append(lost, k)
		}
	}
	return lost, nil
}
