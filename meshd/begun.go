package meshd

import (
	"context"
	"net/http"

	"tanagershunt.example/shunt/proxy"
)

// begunCall is a call that was begun before the earlier requests on its caller's connection were answered. It implements
// proxy.Begun.
type begunCall struct {
	call   *call
	ctx    context.Context //nolint:containedctx // the call runs before its handler is called
	cancel context.CancelFunc
	done   chan struct{} // closed when res is set
	res    *inboundResult
}

// Begin implements proxy.BeginFunc. Only requests that may be repeated are begun in advance: if the connection closes
// before their turn, their callers send them again.
func (o *Outbound) Begin(ctx context.Context, r *http.Request) proxy.Begun {
	table := o.View.Table()
	if table == nil || table.Tenants() != nil && o.View.resume.observe(o.Clock.Now()) {
		return nil
	}
	entry := table.Match(stripPort(r.Host), r.URL.Path)
	if entry == nil || !entry.Repeatable {
		return nil
	}
	owner, ok := o.authenticate(table, entry, r)
	if !ok {
		return nil
	}
	caller := o.Codec.ParseCaller(r.Header)
	share := o.Bodies.Open()
	b := &begunCall{call: o.newCall(r, table, entry, owner, caller, share), done: make(chan struct{})}
	b.call.setDeadlines(caller.Deadline)
	ctx, unwatch := o.stop.watch(ctx)
	ctx, cancel := context.WithDeadline(ctx, b.call.deadline)
	b.ctx, b.cancel = ctx, func() {
		cancel()
		unwatch()
	}
	go func() {
		defer close(b.done)
		b.res = b.call.dispatch(b.ctx)
	}()
	return b
}

// isFor reports whether the call is that of a request whose turn has come.
func (b *begunCall) isFor(r *http.Request, id string) bool {
	c := b.call
	return c.id == id && c.method == r.Method && c.uri == r.RequestURI && c.host == r.Host
}

// Cancel implements proxy.Begun. The caller sends the request again, which is then another arrival of the same request.
func (b *begunCall) Cancel() {
	b.cancel()
	go func() {
		b.release()
		if o := b.call.outbound; b.call.attempts > 0 {
			o.budget(b.call.service).RecordRetry()
		}
		b.call.logEnded(0, b.res.outcome, "connection closed before the turn of the request: "+b.res.reason)
	}()
}

// release returns the memory of the call when it has ended.
func (b *begunCall) release() {
	<-b.done
	b.call.share.Release()
}

// serve writes the response when the turn of the request has come.
func (b *begunCall) serve(w http.ResponseWriter, r *http.Request) {
	ctx, stop := proxy.DetectClose(r.Context())
	defer stop()
	defer b.release()
	defer b.cancel()
	select {
	case <-b.done:
	case <-ctx.Done():
		b.cancel()
		<-b.done
	}
	b.call.finish(b.ctx, w, b.res)
}
