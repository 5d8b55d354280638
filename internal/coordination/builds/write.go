package builds

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	checkInterval = time.Second
	callTimeout   = 2 * time.Second
	// Time that the first front has to write a new version and to tell the others.
	// The next one writes it after that, and so on at rankDelay.
	firstDelay = time.Second
	rankDelay  = 100 * time.Millisecond
	maxDelay   = 3 * time.Second
	// Tries to write one object whose version other fronts change meanwhile.
	maxTries = 4
)

// Run reads the objects, and writes those that lack a version with servers, until
// ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		k.check(ctx)
		select {
		case <-t.C:
		case <-k.changed:
		case <-ctx.Done():
			return
		}
	}
}

// check brings the objects and what this front knows of them up to date.
func (k *Keeper) check(ctx context.Context) {
	e := k.readOnce(ctx)
	if e != nil {
		k.logger.WithError(e).Warn("builds: versions of the services not read, streams that no front knows are not resumed")
	}
	for _, s := range k.services() {
		if !k.due(time.Now(), s) {
			continue
		}
		e := k.write(ctx, s)
		if e != nil {
			k.logger.WithError(e).WithField("service", s).Warn("builds: versions of a service not recorded, the write is repeated")
		}
	}
}

// readOnce reads all objects after the start, until that has succeeded.
func (k *Keeper) readOnce(ctx context.Context) error {
	k.mu.Lock()
	d := k.hasRead
	k.mu.Unlock()
	if d {
		return nil
	}
	c, f := context.WithTimeout(ctx, callTimeout)
	defer f()
	l, _, e := k.store.List(c, kind)
	if e != nil {
		return errors.Wrap(e, "list versions")
	}
	o := time.Now()
	defer k.observe(o)()
	for _, x := range l {
		k.storeRead(o, x)
	}
	k.hasRead = true
	return nil
}

// ConfirmOnly returns the build of a service that has begun all of its streams which
// can still go on. Unlike Only it reads the versions that the platform has recorded, so
// that it is right also for a front that stood still or was cut off while servers of
// another version joined. It returns false too if the platform does not answer.
func (k *Keeper) ConfirmOnly(ctx context.Context, service string) (build.Build, bool) {
	b, o := k.Only(time.Now(), service)
	if !o {
		return b, false
	}
	c, f := context.WithTimeout(ctx, callTimeout)
	defer f()
	x, e := k.store.Get(c, kind, service)
	switch {
	case errors.Is(e, trail.ErrNotFound):
		// No version is recorded: the servers name none, or nobody has recorded
		// theirs yet.
		return b, !b.IsNamed() && !b.IsUnknown()
	case e != nil:
		k.logger.WithError(e).WithField("service", service).Warn("builds: versions of a service not read, streams that no front knows are not resumed")
		return b, false
	}
	n := time.Now()
	k.takeOver(n, x)
	return k.Only(n, service)
}

// takeOver takes over an object that was read.
func (k *Keeper) takeOver(now time.Time, obj object.Object) {
	defer k.observe(now)()
	k.storeRead(now, obj)
}

// storeRead takes over an object that was read after the start. An object that
// can't be decoded names an unknown version, so that no stream is resumed by it.
// The caller holds the lock.
func (k *Keeper) storeRead(now time.Time, obj object.Object) {
	v := &wire.ServiceVersions{}
	e := obj.Decode(v)
	if e != nil {
		k.logger.WithError(e).WithField("service", obj.Name()).Warn("builds: versions of a service could not be decoded")
		v.SetVersions([]string{""})
	}
	k.noteStored(now, obj.Name(), v.GetVersions())
	k.markRecorded(obj.Name(), v.GetVersions())
}

// noteStored takes over the versions of a service that its object names. Streams of one
// that it did not name before may have begun just now. The caller holds the lock.
func (k *Keeper) noteStored(now time.Time, service string, versions []string) {
	for _, v := range versions {
		b := storedBuild(service, v)
		if k.builds[b] == nil && !slices.Contains(k.stored[service], v) {
			k.builds[b] = &record{servedAt: now}
		}
	}
	k.stored[service] = versions
}

// storedBuild returns the build that an object of a service names with a version, which
// is empty if nobody knows it.
func storedBuild(service, version string) build.Build {
	if version == "" {
		return build.Unknown(service)
	}
	return build.New(service, version)
}

// due reports whether this front writes the object of a service now: it lacks a
// version that has had servers for long enough, or names one that has none.
func (k *Keeper) due(now time.Time, service string) bool {
	r := k.rank()
	d := time.Duration(0)
	if r > 0 {
		d = min(firstDelay+rankDelay*time.Duration(r), maxDelay)
	}
	defer k.observe(now)()
	if !k.hasRead {
		return false
	}
	for _, v := range k.listed(now, service) {
		x := k.builds[build.New(service, v)]
		if !x.recorded && now.Sub(x.listedAt) >= d {
			return true
		}
	}
	u := k.builds[build.Unknown(service)]
	if u != nil && !u.recorded {
		// No other front knows of it.
		return true
	}
	return r == 0 && now.Sub(k.startedAt) > pruneTime && slices.ContainsFunc(k.stored[service], func(v string) bool { return k.lapsed(service, v) })
}

// lapsed reports whether a version in an object has had no servers for so long
// that no stream of it can go on. The caller holds the lock.
func (k *Keeper) lapsed(service, version string) bool {
	return k.builds[storedBuild(service, version)] == nil && time.Since(k.startedAt) > pruneTime
}

// write reads the object of a service, and adds the versions that have servers and
// takes out those that have lapsed.
func (k *Keeper) write(ctx context.Context, service string) error {
	c, f := context.WithTimeout(ctx, callTimeout)
	defer f()
	o, e := k.store.Get(c, kind, service)
	for range maxTries {
		if e != nil && !errors.Is(e, trail.ErrNotFound) {
			return errors.Wrap(e, "read versions")
		}
		w, l := k.wanted(service, o, errors.Is(e, trail.ErrNotFound))
		if l == nil {
			return nil
		}
		if w.Version() == 0 {
			_, e = k.store.Create(c, w)
		} else {
			_, e = k.store.Update(c, w)
		}
		if e == nil {
			k.written(service, l)
			return nil
		}
		// Another front may have written, or this write of unknown outcome may have
		// taken effect: the object tells.
		k.logger.WithError(e).WithField("service", service).Info("builds: versions of a service not written, they are read again")
		o, e = k.store.Get(c, kind, service)
	}
	return errors.New("versions of the service change all the time")
}

// wanted returns the object to be written with its versions. The versions are nil
// if the object that was read needs no change.
func (k *Keeper) wanted(service string, read object.Object, missing bool) (object.Object, []string) {
	n := time.Now()
	defer k.observe(n)()
	var v wire.ServiceVersions
	if !missing && read.Decode(&v) != nil {
		v.SetVersions([]string{""})
	}
	if !missing {
		k.noteStored(n, service, v.GetVersions())
	}
	l := slices.DeleteFunc(slices.Clone(v.GetVersions()), func(x string) bool { return k.lapsed(service, x) })
	l = append(l, k.listed(n, service)...)
	if k.builds[build.Unknown(service)] != nil {
		l = append(l, "")
	}
	slices.Sort(l)
	l = slices.Compact(l)
	s := slices.Sorted(slices.Values(v.GetVersions()))
	if !missing && slices.Equal(l, s) {
		k.stored[service] = s
		k.markRecorded(service, s)
		return object.Object{}, nil
	}
	o, e := object.Encode(kind, service, read.Version(), wire.ServiceVersions_builder{Versions: l}.Build())
	if e != nil {
		k.logger.WithError(e).Error("builds: versions of a service not encoded")
		return object.Object{}, nil
	}
	return o, l
}

func (k *Keeper) written(service string, versions []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stored[service] = versions
	k.markRecorded(service, versions)
	k.logger.WithFields(log.Fields{"service": service, "versions": versions}).Info("builds: software versions of a service recorded")
}
