package system

// Background returns the systems of background work in the order in which they
// run. Leases come first, so that nothing is decided under a lapsed lease.
func Background(o LeaseOptions) []Named {
	return []Named{
		{Name: "leases", Run: Leases(o)},
		{Name: "trainers", Run: Trainers(o.Partitions)},
		{Name: "generate", Run: Generate()},
		{Name: "scoring", Run: Scoring()},
		{Name: "lots", Run: TrainerCalls()},
		{Name: "rows", Run: RowWrites()},
		{Name: "weights", Run: WeightRollout(o.Partitions, o.OrderValidity)},
	}
}
