// Package jacinthtiller defines the values that the packages of the proxy exchange
// and the interfaces that have several implementations.
//
// Values are immutable: methods named With return a changed copy. Time fields
// hold deadlines or instants, never durations.
package jacinthtiller
