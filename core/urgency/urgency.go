// Package urgency orders the streams that compete for the engines of a service.
package urgency

import "slices"

const (
	// resumedClasses is the number of the scheduling classes that are kept for streams that continue after a loss. They go
	// before new ones, since their callers are in the middle of an answer.
	resumedClasses = 3
	// lowestClass is the last scheduling class of an engine; 0 is the first.
	lowestClass = 9
)

// Order is the order of the streams of one service: first by the priority of the workspace, then by that of the route. Lower
// numbers are more urgent.
type Order struct {
	workspaces, routes []int
}

// NewOrder returns the order for the priorities that occur.
func NewOrder(workspaces, routes []int) Order {
	return Order{workspaces: distinct(workspaces), routes: distinct(routes)}
}

func distinct(priorities []int) []int {
	return slices.Compact(slices.Sorted(slices.Values(priorities)))
}

// IsContended reports whether kinds of streams of different urgency share the engines. The priorities of the workspaces
// alone don't tell: a service with one kind of stream is scheduled in the order of arrival.
func (o Order) IsContended() bool { return len(o.routes) > 1 }

// Class returns the scheduling class of a stream at an engine, from 0, which is admitted first, to 9. All daemons return the
// same class, so that the engines order the streams of the whole fleet.
func (o Order) Class(workspace, route int, resumed bool) int {
	rank := indexOf(o.workspaces, workspace)*len(o.routes) + indexOf(o.routes, route)
	last := len(o.workspaces)*len(o.routes) - 1
	first, classes := resumedClasses, lowestClass-resumedClasses+1
	if resumed {
		first, classes = 0, resumedClasses
	}
	if last <= 0 {
		return first
	}
	return first + rank*(classes-1)/last
}

// indexOf returns the position of a priority, or that of the next more urgent one if it does not occur.
func indexOf(sorted []int, priority int) int {
	i, found := slices.BinarySearch(sorted, priority)
	if !found && i > 0 {
		i--
	}
	return i
}
