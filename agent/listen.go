package agent

import (
	"context"
	"errors"
	"net"

	"github.com/samber/oops"

	"tanagershunt.example/shunt/params"
)

// listeners holds the open listeners of a node. Their addresses are available even if port 0 was configured.
type listeners struct {
	callers   net.Listener
	calls     net.Listener
	control   net.Listener
	operators net.Listener
	servers   net.Listener
}

// newListeners opens all listeners. If one fails, it closes the others.
func newListeners(s params.Node) (*listeners, error) {
	l := &listeners{}
	var lc net.ListenConfig
	for _, spec := range []struct {
		name    string
		address string
		target  *net.Listener
	}{
		{"callers", s.Listeners.Callers, &l.callers},
		{"calls", s.Listeners.Calls, &l.calls},
		{"control", s.Listeners.Control, &l.control},
		{"operators", s.Listeners.Operators, &l.operators},
		{"servers", s.Listeners.Servers, &l.servers},
	} {
		listener, err := lc.Listen(context.Background(), "tcp", spec.address)
		if err != nil {
			return nil, errors.Join(
				oops.In("agent").With("listener", spec.name, "address", spec.address).
					Wrapf(err, "listener %q", spec.name),
				l.close(),
			)
		}
		*spec.target = listener
	}
	return l, nil
}

func (l *listeners) close() error {
	var errs []error
	for _, listener := range []net.Listener{l.callers, l.calls, l.control, l.operators, l.servers} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
