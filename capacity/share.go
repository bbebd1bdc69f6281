package capacity

// Note is the estimate of one start of a server as one host tells it another.
type Note struct {
	Server        string
	StartedUnixMS int64
	Estimate      Estimate // Unit, Growth and Capacity only
}

// Share is what a host sends to another. The other host answers with notes of its own.
type Share struct {
	Notes []Note
	// Everything asks for all that the other host knows, not only for what it measured itself.
	// A host that has just started does so.
	Everything bool
}
