package agent

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

// stop shuts the node down gracefully. It sets the leaving status and accepts calls for the notice period, so that other
// nodes can receive the status. It rejects new calls as not run, then waits for running calls, sends outstanding claim
// outcomes and final counters, and closes listeners and connections.
func (n *node) stop(ctx context.Context) error {
	log.WithField("control", n.Addresses.Control).Info("node is shutting down")
	n.Table.Update(func(m *shunt.Member) {
		m.Status, m.Ready = shunt.StatusLeaving, false
	})
	select {
	case <-ctx.Done():
	case <-n.Clock.After(time.Duration(n.Settings.Notice)):
	}
	err := errors.Join(
		runParallel(ctx, n.Outbound.Drain, n.Inbound.Drain),
		n.Claims.Flush(ctx),
	)
	n.Accounts.close(ctx)
	stops := make([]func(context.Context) error, 0, len(n.httpServers))
	for _, srv := range n.httpServers {
		stops = append(stops, func(ctx context.Context) error { return shutdown(ctx, srv) })
	}
	err = errors.Join(err, runParallel(ctx, stops...))
	n.cancel()
	n.Claims.Close()
	n.Holder.Close()
	n.rpc.Close()
	n.Pool.Close()
	n.Links.Close()
	n.wg.Wait()
	log.WithField("control", n.Addresses.Control).Info("node stopped")
	return err
}

// shutdown closes a server once its connections are idle, or immediately when the context ends.
func shutdown(ctx context.Context, srv *http.Server) error {
	if err := srv.Shutdown(ctx); err != nil {
		return errors.Join(err, srv.Close())
	}
	return nil
}

// runParallel calls functions concurrently and joins their errors.
func runParallel(ctx context.Context, functions ...func(context.Context) error) error {
	errs := make([]error, len(functions))
	var wg sync.WaitGroup
	for i, f := range functions {
		wg.Go(func() { errs[i] = f(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
