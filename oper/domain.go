package main

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/opapi"
)

func (c *command) domainSubcommands() []subcommand {
	var name string
	var override bool
	out := newSubcommand("take-out", "take a failure domain out of service", func(ctx context.Context) int {
		return c.setDomainState(ctx, name, conf.DomainOut, override)
	})
	out.sub.AddPositionalValue(&name, "failure-domain", 1, true, "name of the failure domain")
	out.sub.Bool(&override, "o", "override", "take it out even when a service loses its last servers")
	out.sub.Bool(&c.wait, "w", "wait", "wait until the change is in force everywhere")

	in := newSubcommand("bring-back", "bring a failure domain back into service", func(ctx context.Context) int {
		return c.setDomainState(ctx, name, conf.DomainIn, false)
	})
	in.sub.AddPositionalValue(&name, "failure-domain", 1, true, "name of the failure domain")
	in.sub.Bool(&c.wait, "w", "wait", "wait until the change is in force everywhere")
	return []subcommand{out, in}
}

func (c *command) setDomainState(ctx context.Context, name, state string, override bool) int {
	key := conf.Key{Kind: conf.KindDomain, Name: name}
	current, err := c.client.Objects(ctx)
	if err != nil {
		return c.fail(err)
	}
	for _, o := range current.Objects {
		domain, ok := o.Object.Spec.(*conf.Domain)
		if !ok || o.Object.Name != name {
			continue
		}
		changed := *domain
		changed.State = state
		changed.Override = override
		return c.sendPublish(ctx, opapi.PublishRequest{
			ID:       uuid.NewString(),
			Operator: operatorName(),
			Base:     map[string]shunt.Offset{key.String(): o.Version},
			Set:      []conf.Object{{Kind: key.Kind, Name: name, Spec: &changed}},
		})
	}
	return c.failUsage(fmt.Errorf("failure domain %q does not exist", name))
}
