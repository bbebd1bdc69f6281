package plan

// PickRoundRobin returns the pool's backends in turn. The pool must not be empty.
func (p *Pool) PickRoundRobin() Backend {
	return p.Backends[p.Next.Add(1)%uint64(len(p.Backends))]
}
