package conf

import (
	"encoding/json"
	"flag"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	trail "bulrushtrail.example/trail"
)

const (
	settingErrorCode = "setting"
	// The longest an online request may run, so that no planned stop cuts one.
	defaultDrainTimeout = 120 * time.Second
	// Balancers check the readiness of an entry about once a second, and some
	// wait for a second failure.
	defaultDrainDelay     = 2 * time.Second
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxFileBytes   = 256 << 20
	defaultMaxConnections = 10000
	defaultCopies         = 2
)

// Settings are the settings of one process. Check must have accepted them
// before they are used.
type Settings struct {
	// One of "entry", "sched", "depot".
	role string
	// Unique among all processes of the system.
	memberID   string
	dataCentre string
	// IP and port that other processes of the system reach this one at.
	peerAddress string
	// IP and port of metrics and health checks.
	adminAddress string
	// IP and port of the callers' and operators' API; entries only.
	httpAddress string
	platformURL string
	// Peer addresses, comma-separated, to learn the newest configuration from
	// when the platform does not answer at start.
	peers string
	// Folder for bulk data; depots only.
	dataFolder string
	// JSON object from caller key to caller name; empty lets each key name
	// its caller, which is for trials only.
	callersFile  string
	operatorKey  string
	drainTimeout time.Duration
	// Part of drainTimeout.
	drainDelay     time.Duration
	maxBodyBytes   int64
	maxFileBytes   int64
	maxConnections int
	copies         int
	logLevel       string
	unnamedCallers bool
	callers        map[string]string
}

// New registers the settings of a role as flags of f.
func New(flags *flag.FlagSet, role string) *Settings {
	s := &Settings{role: role}
	flags.StringVar(&s.memberID, "member-id", "", "name of this process, unique in the system")
	flags.StringVar(&s.dataCentre, "data-centre", "", "data centre of this host")
	flags.StringVar(&s.peerAddress, "peer-address", "", "IP:port for other processes of the system")
	flags.StringVar(&s.adminAddress, "admin-address", "", "IP:port for /metrics, /readyz and /livez")
	flags.StringVar(&s.platformURL, "platform-url", "", "URL of the platform's object API")
	flags.StringVar(&s.peers, "peers", "", "comma-separated peer addresses to learn the configuration from while the platform is down")
	flags.DurationVar(&s.drainTimeout, "drain-timeout", defaultDrainTimeout, "longest graceful shutdown")
	flags.StringVar(&s.logLevel, "log-level", "info", "debug, info, warn or error")
	flags.IntVar(&s.copies, "copies", defaultCopies, "copies of bulk data on disk; 1 is for trials only")
	switch role {
	case "entry":
		flags.StringVar(&s.httpAddress, "http-address", "", "IP:port of the API for callers and operators")
		flags.StringVar(&s.callersFile, "callers-file", "", "JSON file: object from caller key to caller name")
		flags.BoolVar(&s.unnamedCallers, "unnamed-callers", false, "accept any key as its caller's name; for trials only")
		flags.StringVar(&s.operatorKey, "operator-key", "", "key of the operators' API; best set by environment")
		flags.DurationVar(&s.drainDelay, "drain-delay", defaultDrainDelay, "time at the start of a graceful shutdown in which requests are still taken, until the balancer stops sending")
		flags.Int64Var(&s.maxBodyBytes, "body-bytes", defaultMaxBodyBytes, "largest body of a request, in bytes")
		flags.Int64Var(&s.maxFileBytes, "file-bytes", defaultMaxFileBytes, "largest uploaded file, in bytes")
		flags.IntVar(&s.maxConnections, "connections", defaultMaxConnections, "most connections open at a time")
	case "depot":
		flags.StringVar(&s.dataFolder, "data-folder", "", "folder for bulk data")
	}
	return s
}

// Check names every fault of the settings. It reads the callers file.
func (s *Settings) Check() error {
	var l trail.Errors
	l = checkSet(l, "member-id", s.memberID)
	l = checkSet(l, "data-centre", s.dataCentre)
	l = checkAddress(l, "peer-address", s.peerAddress)
	l = checkAddress(l, "admin-address", s.adminAddress)
	u, e := url.Parse(s.platformURL)
	if e != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		l = addFault(l, "platform-url", "%q is not an http or https URL", s.platformURL)
	}
	for _, p := range s.Peers() {
		l = checkAddress(l, "peers", p)
	}
	if s.drainTimeout <= 0 {
		l = addFault(l, "drain-timeout", "%v is not positive", s.drainTimeout)
	}
	if s.copies != 1 && s.copies != defaultCopies {
		l = addFault(l, "copies", "%d is neither 1 nor 2", s.copies)
	}
	switch s.logLevel {
	case "debug", "info", "warn", "error":
	default:
		l = addFault(l, "log-level", "%q is not debug, info, warn or error", s.logLevel)
	}
	switch s.role {
	case "entry":
		l = s.checkEntry(l)
	case "depot":
		l = checkSet(l, "data-folder", s.dataFolder)
	}
	return l.OrNil()
}

func (s *Settings) checkEntry(faults trail.Errors) trail.Errors {
	faults = checkAddress(faults, "http-address", s.httpAddress)
	faults = checkSet(faults, "operator-key", s.operatorKey)
	if s.drainDelay < 0 || s.drainDelay >= s.drainTimeout {
		faults = addFault(faults, "drain-delay", "%v is not between 0 and the drain-timeout of %v", s.drainDelay, s.drainTimeout)
	}
	if s.maxBodyBytes <= 0 || s.maxBodyBytes > defaultMaxBodyBytes {
		faults = addFault(faults, "body-bytes", "%d is not between 1 and %d", s.maxBodyBytes, int64(defaultMaxBodyBytes))
	}
	if s.maxFileBytes <= 0 {
		faults = addFault(faults, "file-bytes", "%d is not positive", s.maxFileBytes)
	}
	if s.maxConnections <= 0 {
		faults = addFault(faults, "connections", "%d is not positive", s.maxConnections)
	}
	if s.unnamedCallers {
		if s.callersFile != "" {
			faults = addFault(faults, "callers-file", "unnamed-callers is set too")
		}
		return faults
	}
	b, e := os.ReadFile(s.callersFile)
	if e != nil {
		return addFault(faults, "callers-file", "%v", e)
	}
	e = json.Unmarshal(b, &s.callers)
	if e != nil {
		return addFault(faults, "callers-file", "%v", e)
	}
	if len(s.callers) == 0 {
		faults = addFault(faults, "callers-file", "no caller is named")
	}
	return faults
}

func addFault(faults trail.Errors, flag, text string, arguments ...any) trail.Errors {
	return append(faults, trail.NewError(settingErrorCode, trail.NotRun, text, arguments...).WithPlace(flag))
}

func checkSet(faults trail.Errors, flag, value string) trail.Errors {
	if value == "" {
		return addFault(faults, flag, "not set")
	}
	return faults
}

// checkAddress accepts IP numbers only: processes don't depend on name lookup.
func checkAddress(faults trail.Errors, flag, value string) trail.Errors {
	_, e := netip.ParseAddrPort(value)
	if e != nil {
		return addFault(faults, flag, "%q is not IP:port", value)
	}
	return faults
}

// Role returns "entry", "sched" or "depot".
func (s *Settings) Role() string { return s.role }

// MemberID returns the name of the process.
func (s *Settings) MemberID() string { return s.memberID }

// DataCentre returns the data centre of the host.
func (s *Settings) DataCentre() string { return s.dataCentre }

// PeerAddress returns the IP and port for other processes.
func (s *Settings) PeerAddress() string { return s.peerAddress }

// AdminAddress returns the IP and port of metrics and health checks.
func (s *Settings) AdminAddress() string { return s.adminAddress }

// HTTPAddress returns the IP and port of an entry's API.
func (s *Settings) HTTPAddress() string { return s.httpAddress }

// PlatformURL returns the URL of the object API.
func (s *Settings) PlatformURL() string { return s.platformURL }

// Peers returns the addresses to learn the configuration from.
func (s *Settings) Peers() []string {
	return strings.FieldsFunc(s.peers, func(r rune) bool { return r == ',' || r == ' ' })
}

// DataFolder returns a depot's folder.
func (s *Settings) DataFolder() string { return s.dataFolder }

// Callers returns the caller's name by its key; empty when each key names its
// caller.
func (s *Settings) Callers() map[string]string { return s.callers }

// OperatorKey returns the key of the operators' API.
func (s *Settings) OperatorKey() string { return s.operatorKey }

// DrainTimeout returns the longest graceful shutdown.
func (s *Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// DrainDelay returns the time in which an entry that shuts down is not ready
// but still takes requests; 0 for other roles. It is part of DrainTimeout.
func (s *Settings) DrainDelay() time.Duration { return s.drainDelay }

// MaxBodyBytes returns the largest body of a request.
func (s *Settings) MaxBodyBytes() int64 { return s.maxBodyBytes }

// MaxFileBytes returns the largest uploaded file.
func (s *Settings) MaxFileBytes() int64 { return s.maxFileBytes }

// MaxConnections returns the most connections open at a time.
func (s *Settings) MaxConnections() int { return s.maxConnections }

// Copies returns the number of copies of bulk data.
func (s *Settings) Copies() int { return s.copies }

// LogLevel returns debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }
