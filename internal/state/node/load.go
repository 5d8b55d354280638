package node

import (
	"net"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Load reads and checks a settings file, which is JSON with kebab-case keys.
// Unknown keys are ignored. The returned error lists all invalid settings.
func Load(path string) (*wire.Node, error) {
	b, e := os.ReadFile(path)
	if e != nil {
		return nil, errors.Wrap(e, "read settings")
	}
	n := &wire.Node{}
	e = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, n)
	if e != nil {
		return nil, errors.Wrapf(e, "parse settings file %s", path)
	}
	return n, check(path, n)
}

func check(path string, settings *wire.Node) error {
	var l trail.Errors
	f := func(name, text string) {
		l = append(l, trail.NewError("setting-invalid", trail.NotRun, "%s %s", name, text).WithPlace(path))
	}
	if settings.GetName() == "" {
		f("name", "is missing")
	}
	if settings.GetDataCentre() == "" {
		f("data-centre", "is missing")
	}
	if net.ParseIP(settings.GetHostAddress()) == nil {
		f("host-address", "is not an IP address")
	}
	if d := settings.GetDialAddress(); d != "" && net.ParseIP(d) == nil {
		f("dial-address", "is not an IP address")
	}
	if !isIPPort(settings.GetStoreAddress()) {
		f("store-address", "is not of the form IP:port")
	}
	for k, v := range map[string]string{"api-address": settings.GetApiAddress(), "ready-address": settings.GetReadyAddress()} {
		if v != "" && !isIPPort(v) {
			f(k, "is not of the form IP:port")
		}
	}
	if p := settings.GetPeerPort(); p == 0 || p > 65535 {
		f("peer-port", "is not a port number from 1 to 65535")
	}
	if settings.GetValueBytes() <= 0 {
		f("value-bytes", "is not greater than 0")
	}
	if settings.GetStopSeconds() <= 0 {
		f("stop-seconds", "is not greater than 0")
	}
	for k, v := range map[string]int64{
		"memory-mb": settings.GetMemoryMb(), "max-descriptors": settings.GetMaxDescriptors(), "caller-connections": settings.GetCallerConnections(),
		"caller-bytes": settings.GetCallerBytes(), "caller-stall-ms": settings.GetCallerStallMs(),
	} {
		if v < 0 {
			f(k, "is less than 0")
		}
	}
	return l.OrNil()
}

func isIPPort(address string) bool {
	h, p, e := net.SplitHostPort(address)
	if e != nil || net.ParseIP(h) == nil {
		return false
	}
	v, e := strconv.ParseUint(p, 10, 16)
	return e == nil && v > 0
}
