package agent

import (
	"context"
	"errors"
	"net"

	"github.com/samber/oops"

	"tanagershunt.example/shunt/params"
)

// listeners holds the open listeners of a node. Addresses are known once they are open, also for port 0.
type listeners struct {
	callers   net.Listener
	calls     net.Listener
	control   net.Listener
	operators net.Listener
	servers   net.Listener
}

// newListeners opens all listeners or none.
func newListeners(s params.Node) (*listeners, error) {
	l := &listeners{}
	var lc net.ListenConfig
	for _, x := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"callers", s.Listeners.Callers, &l.callers},
		{"calls", s.Listeners.Calls, &l.calls},
		{"control", s.Listeners.Control, &l.control},
		{"operators", s.Listeners.Operators, &l.operators},
		{"servers", s.Listeners.Servers, &l.servers},
	} {
		opened, err := lc.Listen(context.Background(), "tcp", x.address)
		if err != nil {
			return nil, errors.Join(
				oops.In("agent").With("listener", x.name, "address", x.address).Wrapf(err, "listener %q", x.name),
				l.close(),
			)
		}
		*x.into = opened
	}
	return l, nil
}

func (l *listeners) close() error {
	var errs []error
	for _, x := range []net.Listener{l.callers, l.calls, l.control, l.operators, l.servers} {
		if x == nil {
			continue
		}
		if err := x.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
