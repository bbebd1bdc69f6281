// Package handler executes the commands of the control loop. Each executor
// calls the platform, a backend server or a peer and returns the outcome as an
// event. The package makes no decisions.
package handler
