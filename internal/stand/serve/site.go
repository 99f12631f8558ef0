package serve

import (
	"context"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/host"
	"damaskreach/internal/stand/hostdb"
	"damaskreach/internal/stand/objdb"
	"damaskreach/internal/stand/rowdb"
)

// site is everything that one process serves.
type site struct {
	services []service
}

// service is a stand-in at an address.
type service struct {
	name, addr string
	// serve runs until ctx ends. listen opens the address again after a crash closed the first listener.
	serve func(ctx context.Context, first net.Listener, listen listen) error
}

func newSite(o options) (*site, error) {
	s := &site{}
	s.addPlatform(o)
	if err := s.addUpstreams(o); err != nil {
		return nil, err
	}
	if len(s.services) == 0 {
		return nil, merry.New("nothing to serve; --help lists the stand-ins")
	}
	return s, nil
}

func (s *site) addPlatform(o options) {
	rows := rowdb.NewDB()
	rows.SetRates(o.Writes, o.Reads)
	s.addHandler("table", o.Table, rows.Handler())
	s.addHandler("objects", o.Objects, objdb.NewDB().Handler())
	list := hostdb.NewDB()
	for _, h := range o.Host {
		list.Set(host.Host{Addr: h.addr, Centre: h.centre, State: host.Live})
	}
	s.addHandler("hosts", o.Hosts, list.Handler())
}

// addHandler adds a service that stays up, unless it has no address.
func (s *site) addHandler(name, addr string, handler http.Handler) {
	if addr == "" {
		return
	}
	s.services = append(s.services, service{name, addr, func(ctx context.Context, first net.Listener, _ listen) error {
		return serveHTTP(ctx, first, handler)
	}})
}
