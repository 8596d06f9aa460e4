// Package guard turns panics into errors, so that a fault in one request, message or component cannot end the process.
package guard

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"

	"radishhollow/core/failure"
)

// PanicError reports a panic. Its message is for the log, not for callers.
type PanicError struct {
	Value any
	Stack []byte
}

func (e PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

func (e PanicError) Code() string { return "internal" }

func (e PanicError) Outcome() failure.Outcome { return failure.Unknown }

// Call calls f and returns its error, or a PanicError if it panics. A value that pass accepts is not an error and panics
// again; pass may be nil.
func Call(f func() error, pass func(value any) bool) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if pass != nil && pass(value) {
			panic(value)
		}
		err = PanicError{Value: value, Stack: debug.Stack()}
	}()
	return f()
}

// Run runs the loops of a component until all of them have returned. If one panics, it ends the context of the others
// and returns a PanicError, so that the supervisor restarts the component. Otherwise it returns the error of ctx.
func Run(ctx context.Context, loops ...func(ctx context.Context)) error {
	loopCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var group sync.WaitGroup
	for _, loop := range loops {
		group.Go(func() {
			if err := Call(func() error { loop(loopCtx); return nil }, nil); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return context.Cause(loopCtx)
}
