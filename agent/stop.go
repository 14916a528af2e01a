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

// stop ends the node gracefully: it announces that it leaves, keeps taking calls until other nodes had the
// time to hear of it, refuses new calls as not run, and closes once the running ones have ended.
func (n *node) stop(ctx context.Context) error {
	log.WithField("control", n.Addresses.Control).Info("node is leaving")
	n.Table.Update(func(m *shunt.Member) {
		m.Status, m.Ready = shunt.StatusLeaving, false
	})
	select {
	case <-ctx.Done():
	case <-n.Clock.After(time.Duration(n.Settings.Notice)):
	}
	err := errors.Join(
		together(ctx, n.Outbound.Drain, n.Inbound.Drain),
		n.Claims.Flush(ctx),
	)
	n.Accounts.close(ctx)
	stops := make([]func(context.Context) error, 0, len(n.https))
	for _, srv := range n.https {
		stops = append(stops, func(ctx context.Context) error { return shutdown(ctx, srv) })
	}
	err = errors.Join(err, together(ctx, stops...))
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

// shutdown closes a server once its connections are idle, or at once when the context ends.
func shutdown(ctx context.Context, srv *http.Server) error {
	if err := srv.Shutdown(ctx); err != nil {
		return errors.Join(err, srv.Close())
	}
	return nil
}

// together calls functions at the same time and joins their errors.
func together(ctx context.Context, functions ...func(context.Context) error) error {
	errs := make([]error, len(functions))
	var wg sync.WaitGroup
	for i, f := range functions {
		wg.Go(func() { errs[i] = f(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
