package wire

import (
	"fmt"
	"maps"
	"reflect"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// messageTypes maps kinds to message types and back. It is immutable.
type messageTypes struct {
	typeByKind map[Kind]reflect.Type
	kindByType map[reflect.Type]Kind
}

// registry is read on every exchange and written during initialisation. Readers load
// the current copy; Register replaces it.
var (
	registryMu sync.Mutex
	registry   atomic.Pointer[messageTypes]
)

// Register binds a kind to the struct type of prototype. It is meant for package
// initialisation, but is safe for concurrent use. It panics if the kind or the type is
// already bound.
func Register(kind Kind, prototype any) {
	registryMu.Lock()
	defer registryMu.Unlock()
	t := reflect.TypeOf(prototype)
	next := &messageTypes{typeByKind: map[Kind]reflect.Type{}, kindByType: map[reflect.Type]Kind{}}
	if old := registry.Load(); old != nil {
		maps.Copy(next.typeByKind, old.typeByKind)
		maps.Copy(next.kindByType, old.kindByType)
	}
	if _, ok := next.typeByKind[kind]; ok || t.Kind() != reflect.Struct {
		panic(fmt.Sprintf("wire: kind %d can't be registered for type %v", kind, t))
	}
	if _, ok := next.kindByType[t]; ok {
		panic(fmt.Sprintf("wire: type %v is already registered", t))
	}
	next.typeByKind[kind] = t
	next.kindByType[t] = kind
	registry.Store(next)
}

// kindOf returns the kind of a message, which is a struct or a pointer to one.
func kindOf(msg any) (Kind, error) {
	t := reflect.TypeOf(msg)
	if t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	kind, ok := registry.Load().kindByType[t]
	if !ok {
		return 0, eris.Wrapf(ErrUnknownKind, "type %v", t)
	}
	return kind, nil
}

// newMessage returns a pointer to a new message of the kind.
func newMessage(kind Kind) (any, error) {
	t, ok := registry.Load().typeByKind[kind]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownKind, "kind %d", kind)
	}
	return reflect.New(t).Interface(), nil
}
