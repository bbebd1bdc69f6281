// Package handler holds the executors of commands: it turns each command into
// calls of the platform, of backend servers or of peers, and their outcome into
// an event. It decides nothing.
package handler
