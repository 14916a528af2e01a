package meshd

import (
	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

// maxSkippedLogged is the number of invalid records of one read that are logged; the others are only counted.
const maxSkippedLogged = 3

// skippedRecords collects the records of one read that cannot be decoded. The other records of the read take effect.
type skippedRecords struct {
	count int
	first [maxSkippedLogged]skippedRecord
}

type skippedRecord struct {
	key    string
	offset int64
	err    error
}

func (s *skippedRecords) add(k shunt.KeyedRecord, err error) {
	if s.count < len(s.first) {
		s.first[s.count] = skippedRecord{k.Key, k.Offset, err}
	}
	s.count++
}

// report logs and counts the records.
func (s *skippedRecords) report(topic string, m *Meter) {
	for _, r := range s.first[:min(s.count, len(s.first))] {
		log.WithError(r.err).
			WithFields(log.Fields{"topic": topic, "key": r.key, "offset": r.offset, "skipped": s.count}).
			Warn("record skipped")
	}
	m.add(`side_records_skipped_total{topic="`+topic+`"}`, s.count)
}
