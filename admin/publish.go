package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/state"
)

const (
	// publishTimeout bounds a publish, including the wait until this node has reduced its record.
	publishTimeout = 10 * time.Second
	// outcomePollInterval is the interval at which the outcome is polled after an append of unknown effect.
	outcomePollInterval = 100 * time.Millisecond
)

// Publisher appends publish records to the log and returns their outcomes as reduced by the node.
type Publisher struct {
	node  Node
	log   shunt.Log
	clock clockwork.Clock
	name  string
}

// NewPublisher returns a publisher that writes records with the given node name.
func NewPublisher(node Node, log shunt.Log, clock clockwork.Clock, name string) *Publisher {
	return &Publisher{node: node, log: log, clock: clock, name: name}
}

// Validate checks a publish against the node's current configuration and ready servers without appending it. The
// request must have an identifier. If a stored outcome has the same identifier, only the ready servers are checked.
func (p *Publisher) Validate(req opapi.PublishRequest) opapi.PublishResponse {
	if resp, ok := p.precheck(req); !ok {
		return resp
	}
	return opapi.PublishResponse{Result: opapi.ResultPublished, ID: req.ID, Reason: "valid, not published"}
}

// Publish appends a publish record and returns its outcome. With ResultUnknown the record may have taken effect or
// not; all other results are final.
func (p *Publisher) Publish(ctx context.Context, req opapi.PublishRequest) opapi.PublishResponse {
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if req.Again {
		if err := p.catchUp(ctx); err != nil {
			return unknownResponse(req.ID, err)
		}
	}
	if o, ok := p.node.State().Outcome(req.ID); ok {
		return toResponse(o)
	}
	if resp, ok := p.precheck(req); !ok {
		return resp
	}
	data, err := p.encode(req)
	if err != nil {
		return notPublishedResponse(req.ID, err)
	}
	offset, err := p.log.Append(ctx, shunt.StreamConfig, data)
	switch {
	case err == nil:
		return p.awaitOutcome(ctx, req.ID, offset)
	case errors.Is(err, shunt.ErrLogUnavailable),
		errors.Is(err, shunt.ErrLogRateLimited),
		errors.Is(err, shunt.ErrRecordTooLarge):
		return notPublishedResponse(req.ID, err)
	default:
		return p.pollOutcome(ctx, req.ID, err)
	}
}

// catchUp waits until the node has reduced the log up to its head. Without it, a lagging node could report that a
// publish was not made although an earlier attempt with the same identifier has been appended.
func (p *Publisher) catchUp(ctx context.Context) error {
	b, err := p.log.Read(ctx, shunt.StreamConfig, p.node.State().Offset()+1, 1, 0)
	if err != nil {
		return err
	}
	return p.node.WaitForOffset(ctx, b.Head)
}

// precheck rejects publishes that would be rejected at the node's offset, so that most invalid ones are not appended
// to the log.
func (p *Publisher) precheck(req opapi.PublishRequest) (opapi.PublishResponse, bool) {
	data, err := p.encode(req)
	if err != nil {
		return notPublishedResponse(req.ID, err), false
	}
	current := p.node.State()
	_, outcome, err := current.Apply(current.Offset()+1, data)
	if err != nil {
		return notPublishedResponse(req.ID, err), false
	}
	if outcome.Verdict != state.VerdictApplied && outcome.Verdict != state.VerdictRepeated {
		resp := toResponse(outcome)
		resp.Reason += fmt.Sprintf("checked at offset %d", current.Offset())
		return resp, false
	}
	if problems := p.capacityProblems(req, current); len(problems) > 0 {
		return opapi.PublishResponse{Result: opapi.ResultRejected, ID: req.ID, Problems: problems}, false
	}
	return opapi.PublishResponse{}, true
}

// capacityProblems returns the problems of taking out failure domains that together have the last ready servers of
// a service. The reduction can't check this, because the state contains no servers.
func (p *Publisher) capacityProblems(req opapi.PublishRequest, current *state.State) []conf.Problem {
	var domains []string
	override := make(map[string]bool)
	for _, o := range req.Set {
		d, ok := o.Spec.(*conf.Domain)
		if !ok || d.State != conf.DomainOut || current.DomainOut(o.Name) {
			continue
		}
		domains = append(domains, o.Name)
		override[o.Key().String()] = d.Override
	}
	if len(domains) == 0 {
		return nil
	}
	return slices.DeleteFunc(p.node.CapacityProblems(domains), func(x conf.Problem) bool { return override[x.Object] })
}

func (p *Publisher) encode(req opapi.PublishRequest) ([]byte, error) {
	body, err := json.Marshal(state.Publish{
		Operator: req.Operator,
		Base:     req.Base,
		Set:      req.Set,
		Delete:   req.Delete,
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(state.Record{
		Schema: state.Schema,
		Kind:   state.KindPublish,
		ID:     req.ID,
		At:     p.clock.Now().UTC(),
		Node:   p.name,
		Body:   body,
	})
}

// awaitOutcome returns the outcome of an appended publish once the node has reduced it.
func (p *Publisher) awaitOutcome(ctx context.Context, id string, offset shunt.Offset) opapi.PublishResponse {
	if err := p.node.WaitForOffset(ctx, offset); err != nil {
		return unknownResponse(id, fmt.Errorf("appended at offset %d, not reduced yet: %w", offset, err))
	}
	o, ok := p.node.State().Outcome(id)
	if !ok {
		return unknownResponse(id, fmt.Errorf("offset %d holds no publish with this identifier", offset))
	}
	return toResponse(o)
}

// pollOutcome polls the node for the outcome of a publish after an append of unknown effect.
func (p *Publisher) pollOutcome(ctx context.Context, id string, cause error) opapi.PublishResponse {
	for {
		if o, ok := p.node.State().Outcome(id); ok {
			return toResponse(o)
		}
		select {
		case <-ctx.Done():
			return unknownResponse(id, cause)
		case <-p.clock.After(outcomePollInterval):
		}
	}
}

func toResponse(o state.Outcome) opapi.PublishResponse {
	resp := opapi.PublishResponse{ID: o.ID, Problems: o.Problems, Conflict: o.Conflict, Reason: o.Reason}
	switch o.Verdict {
	case state.VerdictApplied, state.VerdictRepeated:
		resp.Result = opapi.ResultPublished
		resp.Offset = o.Offset
	case state.VerdictConflict:
		resp.Result = opapi.ResultConflict
	default:
		resp.Result = opapi.ResultRejected
	}
	return resp
}

func notPublishedResponse(id string, err error) opapi.PublishResponse {
	return opapi.PublishResponse{Result: opapi.ResultNotPublished, ID: id, Reason: err.Error()}
}

func unknownResponse(id string, err error) opapi.PublishResponse {
	return opapi.PublishResponse{Result: opapi.ResultUnknown, ID: id, Reason: err.Error()}
}
