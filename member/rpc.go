package member

import "context"

// Names of the probe service and of its connection purpose.
const (
	ProbeService = "Probe"
	PurposeProbe = "probe"
)

type (
	// Caller calls a method of a service on another node. *peer.Pool implements it.
	Caller interface {
		Call(ctx context.Context, address, purpose, method string, args, reply any) error
	}

	rpcTransport struct{ caller Caller }
)

// NewTransport returns a transport that sends probes as remote procedure calls.
func NewTransport(c Caller) Transport { return rpcTransport{caller: c} }

func (t rpcTransport) Ping(ctx context.Context, control string, args PingArgs) (PingReply, error) {
	var reply PingReply
	err := t.caller.Call(ctx, control, PurposeProbe, ProbeService+".Ping", args, &reply)
	return reply, err
}

func (t rpcTransport) Indirect(ctx context.Context, helper string, args IndirectArgs) (IndirectReply, error) {
	var reply IndirectReply
	err := t.caller.Call(ctx, helper, PurposeProbe, ProbeService+".Indirect", args, &reply)
	return reply, err
}
