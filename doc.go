// Package jacinthtiller holds the values that the packages of the proxy exchange
// and the interfaces of what varies between implementations.
//
// Values are immutable: methods named With return a changed copy. Times in
// fields are deadlines or instants, never durations.
package jacinthtiller
