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
	// outcomeWait bounds the time for which a publish waits for its own record to be reduced here.
	outcomeWait = 10 * time.Second
	// outcomePoll is the interval at which a publish of unknown effect looks for its identifier.
	outcomePoll = 100 * time.Millisecond
)

// Publisher appends publish records and reads their outcome back from the reduction.
type Publisher struct {
	node  Node
	log   shunt.Log
	clock clockwork.Clock
	name  string
}

// NewPublisher returns a publisher that writes records in the name of a node.
func NewPublisher(node Node, log shunt.Log, clock clockwork.Clock, name string) *Publisher {
	return &Publisher{node: node, log: log, clock: clock, name: name}
}

// Validate says what a publish would do now, without publishing.
func (p *Publisher) Validate(req opapi.PublishRequest) opapi.PublishResponse {
	if answer, ok := p.precheck(req); !ok {
		return answer
	}
	return opapi.PublishResponse{Result: opapi.ResultPublished, ID: req.ID, Reason: "valid, not published"}
}

// Publish appends a publish record and returns its outcome. Every result but ResultUnknown is certain.
func (p *Publisher) Publish(ctx context.Context, req opapi.PublishRequest) opapi.PublishResponse {
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeWait)
	defer cancel()
	if req.Again {
		if err := p.catchUp(ctx); err != nil {
			return unknown(req.ID, err)
		}
	}
	if o, ok := p.node.State().Outcome(req.ID); ok {
		return response(o)
	}
	if answer, ok := p.precheck(req); !ok {
		return answer
	}
	data, err := p.encode(req)
	if err != nil {
		return notPublished(req.ID, err)
	}
	offset, err := p.log.Append(ctx, shunt.StreamConfig, data)
	switch {
	case err == nil:
		return p.await(ctx, req.ID, offset)
	case errors.Is(err, shunt.ErrLogDown), errors.Is(err, shunt.ErrLogBusy), errors.Is(err, shunt.ErrRecordTooLarge):
		return notPublished(req.ID, err)
	default:
		return p.search(ctx, req.ID, err)
	}
}

// catchUp brings the node to the head of the log. Without it a node that lags could deny a publish that an
// earlier try with the same identifier has already put into the log.
func (p *Publisher) catchUp(ctx context.Context) error {
	b, err := p.log.Read(ctx, shunt.StreamConfig, p.node.State().Offset()+1, 1, 0)
	if err != nil {
		return err
	}
	return p.node.Wait(ctx, b.Head)
}

// precheck refuses what would be refused at the node's offset, so that most faults never reach the log.
func (p *Publisher) precheck(req opapi.PublishRequest) (opapi.PublishResponse, bool) {
	data, err := p.encode(req)
	if err != nil {
		return notPublished(req.ID, err), false
	}
	current := p.node.State()
	_, outcome, err := current.Apply(current.Offset()+1, data)
	if err != nil {
		return notPublished(req.ID, err), false
	}
	if outcome.Verdict != state.VerdictApplied && outcome.Verdict != state.VerdictRepeated {
		answer := response(outcome)
		answer.Reason += fmt.Sprintf("checked at offset %d", current.Offset())
		return answer, false
	}
	if problems := p.capacity(req, current); len(problems) > 0 {
		return opapi.PublishResponse{Result: opapi.ResultRejected, ID: req.ID, Problems: problems}, false
	}
	return opapi.PublishResponse{}, true
}

// capacity refuses to take out failure domains that together hold the last ready servers of a service. The
// reduction can't check this, since it knows no servers.
func (p *Publisher) capacity(req opapi.PublishRequest, current *state.State) []conf.Problem {
	var out []string
	override := make(map[string]bool)
	for _, o := range req.Set {
		d, ok := o.Spec.(*conf.Domain)
		if !ok || d.State != conf.DomainOut || current.DomainOut(o.Name) {
			continue
		}
		out = append(out, o.Name)
		override[o.Key().String()] = d.Override
	}
	if len(out) == 0 {
		return nil
	}
	return slices.DeleteFunc(p.node.Lost(out), func(x conf.Problem) bool { return override[x.Object] })
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

func (p *Publisher) await(ctx context.Context, id string, offset shunt.Offset) opapi.PublishResponse {
	if err := p.node.Wait(ctx, offset); err != nil {
		return unknown(id, fmt.Errorf("appended at offset %d, not reduced yet: %w", offset, err))
	}
	o, ok := p.node.State().Outcome(id)
	if !ok {
		return unknown(id, fmt.Errorf("offset %d holds no publish with this identifier", offset))
	}
	return response(o)
}

// search looks for the identifier after an append of unknown effect.
func (p *Publisher) search(ctx context.Context, id string, cause error) opapi.PublishResponse {
	for {
		if o, ok := p.node.State().Outcome(id); ok {
			return response(o)
		}
		select {
		case <-ctx.Done():
			return unknown(id, cause)
		case <-p.clock.After(outcomePoll):
		}
	}
}

func response(o state.Outcome) opapi.PublishResponse {
	answer := opapi.PublishResponse{ID: o.ID, Problems: o.Problems, Conflict: o.Conflict, Reason: o.Reason}
	switch o.Verdict {
	case state.VerdictApplied, state.VerdictRepeated:
		answer.Result = opapi.ResultPublished
		answer.Offset = o.Offset
	case state.VerdictConflict:
		answer.Result = opapi.ResultConflict
	default:
		answer.Result = opapi.ResultRejected
	}
	return answer
}

func notPublished(id string, err error) opapi.PublishResponse {
	return opapi.PublishResponse{Result: opapi.ResultNotPublished, ID: id, Reason: err.Error()}
}

func unknown(id string, err error) opapi.PublishResponse {
	return opapi.PublishResponse{Result: opapi.ResultUnknown, ID: id, Reason: err.Error()}
}
