package trail

import (
	"context"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/state/object"
)

// Errors of a Store, to be tested with errors.Is. Every error of a Store also has
// a verdict. It is NotRun if the change did not and will not take effect, and
// MayHaveRun if the response was lost. In the latter case the caller reads the
// object back and looks for its own attempt id.
var (
	// ErrConflict means that the version of the object is not the one given.
	ErrConflict = errors.New("object has changed")
	// ErrExists means that the object to be created already exists.
	ErrExists = errors.New("object exists")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrTooOld means that the platform no longer has the changes since the
	// version, and a watch must start from a new list.
	ErrTooOld = errors.New("version is too old to watch from")
	// ErrUnavailable means that the platform did not answer or rejected the
	// call because of its rate limit.
	ErrUnavailable = errors.New("platform is unavailable")
)

// Store is the platform's object API, which holds all state that the processes
// must agree on. Values are at most 1 MB. Each call counts against the
// platform's rate limit; an open watch counts as one call.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (object.Object, error)
	// List reads all objects of a kind and the version of the list.
	List(ctx context.Context, kind string) ([]object.Object, int64, error)
	// Create stores a new object and returns it with its version.
	Create(ctx context.Context, obj object.Object) (object.Object, error)
	// Update replaces the object if its version at the platform is that of obj.
	// With ErrConflict it also returns the current object if the platform has
	// sent it.
	Update(ctx context.Context, obj object.Object) (object.Object, error)
	// Delete removes the object if its version at the platform is that of obj.
	Delete(ctx context.Context, obj object.Object) error
	// Watch delivers the changes of a kind after a version. The channel is
	// closed when ctx is cancelled or the platform closes the watch. The last
	// value may only carry the reason (Change.Cause). A value may hold all
	// objects of the kind (Change.List).
	Watch(ctx context.Context, kind string, after int64) (<-chan Change, error)
}

// StaleStore is a Store that can also read from a copy that may be seconds old.
// Such a read costs a fraction of an ordinary one and does not count against the
// platform's rate limit.
type StaleStore interface {
	Store
	// GetStale reads one object from the copy. With ErrNotFound, the object may
	// still exist.
	GetStale(ctx context.Context, kind, name string) (object.Object, error)
	// ListStale reads all objects of a kind from the copy, and the version of
	// the list.
	ListStale(ctx context.Context, kind string) ([]object.Object, int64, error)
}

// Change is an event of a watch: a change of one object, the state of all objects
// of the kind, or the reason why the watch ends.
type Change struct {
	object  object.Object
	deleted bool
	// Set for the end of a watch, which has no object.
	cause error
	// Set for the state of all objects.
	list *list
}

// list is the state of all objects of a kind.
type list struct {
	objects []object.Object
	// All changes up to this version are included.
	version int64
}

// NewChange returns a change of one object, or its deletion.
func NewChange(obj object.Object, deleted bool) Change {
	return Change{object: obj, deleted: deleted}
}

// NewWatchEnd returns the end of a watch and its cause.
func NewWatchEnd(cause error) Change { return Change{cause: cause} }

// NewListChange returns the state of all objects of a kind, which includes all
// changes up to a version.
func NewListChange(objects []object.Object, version int64) Change {
	return Change{list: &list{objects: objects, version: version}}
}

// List returns all objects of the kind and the version up to which the list
// includes all changes. It returns false if the change is not a list.
func (c Change) List() ([]object.Object, int64, bool) {
	if c.list == nil {
		return nil, 0, false
	}
	return c.list.objects, c.list.version, true
}

// Cause returns why the watch ends, or nil if the change is not its end.
func (c Change) Cause() error { return c.cause }

// Object returns the changed object, in its state after the change.
func (c Change) Object() object.Object { return c.object }

// Deleted reports whether the object was deleted.
func (c Change) Deleted() bool { return c.deleted }
