package system

// ControllerSystems returns systems that only controllers run, in execution order.
// Leases runs first so that no other system decides under an expired lease.
func ControllerSystems(o LeaseOptions) []Named {
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
