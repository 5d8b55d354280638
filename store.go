package trail

import (
	"context"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/state/object"
)

// Errors of a Store, found with errors.Is. Every error of a Store also has a
// verdict: NotRun when the change did not and will not take effect, MayHaveRun
// when the answer was lost; the caller then reads the object back and looks
// for its own attempt id.
var (
	// ErrConflict means that the object has another version than the one given.
	ErrConflict = errors.New("object has changed")
	// ErrExists means that an object to be created is already there.
	ErrExists = errors.New("object exists")
	// ErrNotFound means that the object is not there.
	ErrNotFound = errors.New("object not found")
	// ErrTooOld means that a watch must start from a new list.
	ErrTooOld = errors.New("version is too old to watch from")
	// ErrUnavailable means that the platform did not answer or refused for
	// its call rate.
	ErrUnavailable = errors.New("platform is unavailable")
)

// Store is the platform's object API, the only place where the processes agree
// on anything. Values are at most 1 MB. Each call counts against the
// platform's rate, a waiting watch as one.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (object.Object, error)
	// List reads all objects of a kind and the version of the list.
	List(ctx context.Context, kind string) ([]object.Object, int64, error)
	// Create stores a new object and returns it with its version.
	Create(ctx context.Context, obj object.Object) (object.Object, error)
	// Update replaces the object if the platform's version is still o's. With
	// ErrConflict it returns the present object if the platform has told it.
	Update(ctx context.Context, obj object.Object) (object.Object, error)
	// Delete removes the object if the platform's version is still o's.
	Delete(ctx context.Context, obj object.Object) error
	// Watch reports the changes of a kind after a version until ctx is cancelled or the
	// platform closes the watch; then the channel is closed. Before that, the
	// last change may only tell why (Change.Cause). A change may hold the whole
	// kind (Change.List).
	Watch(ctx context.Context, kind string, after int64) (<-chan Change, error)
}

// StaleStore is a Store that also reads from a copy which may be seconds old,
// at a fraction of the price of a read and outside the platform's call rate.
type StaleStore interface {
	Store
	// GetStale reads one object as it was at some time. An object that it does
	// not find may exist.
	GetStale(ctx context.Context, kind, name string) (object.Object, error)
	// ListStale reads all objects of a kind as they were at some time.
	ListStale(ctx context.Context, kind string) ([]object.Object, int64, error)
}

// Change is one change of an object, or the state of all objects of a kind.
type Change struct {
	object  object.Object
	deleted bool
	// Not nil for the end of a watch, which has no object.
	cause error
	// Not nil for the state of all objects.
	list *list
}

// list is the state of all objects of a kind.
type list struct {
	objects []object.Object
	// All changes up to this version are in it.
	version int64
}

// NewChange returns a change to o, or its deletion.
func NewChange(obj object.Object, deleted bool) Change {
	return Change{object: obj, deleted: deleted}
}

// NewWatchEnd returns the end of a watch for a reason.
func NewWatchEnd(cause error) Change { return Change{cause: cause} }

// NewListChange returns the state of all objects of a kind. It has all changes up to a
// version.
func NewListChange(objects []object.Object, version int64) Change {
	return Change{list: &list{objects: objects, version: version}}
}

// List returns all objects of the kind and the version up to which the list has
// all changes, and false if the change is to one object only.
func (c Change) List() ([]object.Object, int64, bool) {
	if c.list == nil {
		return nil, 0, false
	}
	return c.list.objects, c.list.version, true
}

// Cause returns why the watch ends here, nil for a change of an object.
func (c Change) Cause() error { return c.cause }

// Object returns the object as it is after the change.
func (c Change) Object() object.Object { return c.object }

// Deleted says whether the object was removed.
func (c Change) Deleted() bool { return c.deleted }
