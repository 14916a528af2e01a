package shift

import "time"

// AfterRestart returns the part of a node's bound that is left for a process that started during the trial of a move,
// sinceStart ago. Earlier processes of the node may have sent requests that nobody has counted, but in the trial the slack
// becomes available evenly over the time: they had no more than their time's part of it. Nothing is left for a process that
// started in a later phase, when earlier ones may have used all.
func (b Bound) AfterRestart(startedIn Phase, stage Stage, sinceStart, elapsed, within time.Duration) Bound {
	if startedIn != Trial || elapsed <= 0 || within <= 0 {
		return Bound{Share: b.Share}
	}
	sinceStart = min(max(sinceStart, 0), elapsed)
	if stage == Sample {
		// Allowance multiplies the slack by elapsed/within in this stage.
		return Bound{Share: b.Share, Slack: b.Slack * sinceStart.Seconds() / elapsed.Seconds()}
	}
	return Bound{Share: b.Share, Slack: b.Slack * min(sinceStart.Seconds()/within.Seconds(), 1)}
}
