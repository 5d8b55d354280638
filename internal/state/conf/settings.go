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
	// Equal to the longest time that an online request may run, so that a
	// planned stop does not interrupt any.
	defaultDrainTimeout = 120 * time.Second
	// Load balancers check the readiness of an entry about once per second, and
	// some remove it only after two failed checks.
	defaultDrainDelay     = 2 * time.Second
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxFileBytes   = 256 << 20
	defaultMaxConnections = 10000
	defaultCopies         = 2
)

// Settings are the settings of one process. They must not be used before Check
// has accepted them.
type Settings struct {
	// One of "entry", "sched", "depot".
	role string
	// Unique among all processes of the system.
	memberID   string
	dataCentre string
	// IP and port at which other processes of the system reach this one.
	peerAddress string
	// IP and port of metrics and health checks.
	adminAddress string
	// IP and port of the API for callers and operators; entries only.
	httpAddress string
	platformURL string
	// Comma-separated peer addresses from which to fetch the newest
	// configuration if the platform is unavailable at start.
	peers string
	// Folder for bulk data; depots only.
	dataFolder string
	// File with a JSON object from caller key to caller name. Not set together
	// with unnamedCallers, which makes each key its caller's name and is for
	// tests only.
	callersFile  string
	operatorKey  string
	drainTimeout time.Duration
	// Included in drainTimeout.
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
	flags.StringVar(&s.peers, "peers", "", "comma-separated peer addresses from which to fetch the configuration while the platform is unavailable")
	flags.DurationVar(&s.drainTimeout, "drain-timeout", defaultDrainTimeout, "longest duration of a graceful shutdown")
	flags.StringVar(&s.logLevel, "log-level", "info", "debug, info, warn or error")
	flags.IntVar(&s.copies, "copies", defaultCopies, "copies of bulk data on disk; 1 is for tests only")
	switch role {
	case "entry":
		flags.StringVar(&s.httpAddress, "http-address", "", "IP:port of the API for callers and operators")
		flags.StringVar(&s.callersFile, "callers-file", "", "JSON file with an object from caller key to caller name")
		flags.BoolVar(&s.unnamedCallers, "unnamed-callers", false, "accept any key and use it as the caller's name; for tests only")
		flags.StringVar(&s.operatorKey, "operator-key", "", "key of the operator API; preferably set by environment variable")
		flags.DurationVar(&s.drainDelay, "drain-delay", defaultDrainDelay, "time at the start of a graceful shutdown during which requests are still accepted, until the load balancer stops sending them")
		flags.Int64Var(&s.maxBodyBytes, "body-bytes", defaultMaxBodyBytes, "largest request body, in bytes")
		flags.Int64Var(&s.maxFileBytes, "file-bytes", defaultMaxFileBytes, "largest uploaded file, in bytes")
		flags.IntVar(&s.maxConnections, "connections", defaultMaxConnections, "most connections open at the same time")
	case "depot":
		flags.StringVar(&s.dataFolder, "data-folder", "", "folder for bulk data")
	}
	return s
}

// Check reads the callers file and checks all settings. The returned error lists
// all invalid ones.
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
			faults = addFault(faults, "callers-file", "set together with unnamed-callers")
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
		faults = addFault(faults, "callers-file", "file contains no caller")
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

// checkAddress accepts IP addresses only, so that processes do not depend on
// name resolution.
func checkAddress(faults trail.Errors, flag, value string) trail.Errors {
	_, e := netip.ParseAddrPort(value)
	if e != nil {
		return addFault(faults, flag, "%q is not IP:port", value)
	}
	return faults
}

// Role returns "entry", "sched" or "depot".
func (s *Settings) Role() string { return s.role }

// MemberID returns the name of the process, unique in the system.
func (s *Settings) MemberID() string { return s.memberID }

// DataCentre returns the data centre of the host.
func (s *Settings) DataCentre() string { return s.dataCentre }

// PeerAddress returns the IP and port at which other processes of the system
// reach this one.
func (s *Settings) PeerAddress() string { return s.peerAddress }

// AdminAddress returns the IP and port of metrics and health checks.
func (s *Settings) AdminAddress() string { return s.adminAddress }

// HTTPAddress returns the IP and port of an entry's HTTP API.
func (s *Settings) HTTPAddress() string { return s.httpAddress }

// PlatformURL returns the URL of the platform's object API.
func (s *Settings) PlatformURL() string { return s.platformURL }

// Peers returns the peer addresses from which to fetch the configuration while
// the platform is unavailable.
func (s *Settings) Peers() []string {
	return strings.FieldsFunc(s.peers, func(r rune) bool { return r == ',' || r == ' ' })
}

// DataFolder returns the folder in which a depot stores bulk data.
func (s *Settings) DataFolder() string { return s.dataFolder }

// Callers returns the caller names by key. It is empty if any key is accepted as
// its caller's name.
func (s *Settings) Callers() map[string]string { return s.callers }

// OperatorKey returns the key of the operator API.
func (s *Settings) OperatorKey() string { return s.operatorKey }

// DrainTimeout returns the longest duration of a graceful shutdown.
func (s *Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// DrainDelay returns the time at the start of a graceful shutdown during which
// an entry is not ready but still accepts requests. It is included in
// DrainTimeout, and is 0 for other roles.
func (s *Settings) DrainDelay() time.Duration { return s.drainDelay }

// MaxBodyBytes returns the size limit of a request body.
func (s *Settings) MaxBodyBytes() int64 { return s.maxBodyBytes }

// MaxFileBytes returns the size limit of an uploaded file.
func (s *Settings) MaxFileBytes() int64 { return s.maxFileBytes }

// MaxConnections returns the limit of connections open at the same time.
func (s *Settings) MaxConnections() int { return s.maxConnections }

// Copies returns the number of copies of bulk data.
func (s *Settings) Copies() int { return s.copies }

// LogLevel returns debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }
