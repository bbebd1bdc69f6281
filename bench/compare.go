package bench

import (
	"sync"
)

// Row holds the results of a policy under a fault.
type Row struct {
	Name    string    `json:"name"` // of the policy
	Fault   string    `json:"fault"`
	Results []*Result `json:"results"` // by seed
}

// Comparison holds the results of several policies and faults with the same seeds.
type Comparison struct {
	Deployment string `json:"deployment"`
	Load       string `json:"load"`
	Seeds      int    `json:"seeds"`
	Rows       []Row  `json:"rows"`
}

// Compare runs every policy under every fault with the seeds 1 to seeds. The runs are
// independent of each other; up to workers of them run concurrently.
func Compare(d Deployment, load string, policies []Policy, faults []string, seeds, workers int) Comparison {
	c := Comparison{Deployment: d.Name, Load: load, Seeds: seeds}
	limit := make(chan struct{}, workers)
	var running sync.WaitGroup
	for _, fault := range faults {
		for _, p := range policies {
			row := Row{Name: p.Name, Fault: fault, Results: make([]*Result, seeds)}
			c.Rows = append(c.Rows, row)
			for i := range seeds {
				running.Go(func() {
					limit <- struct{}{}
					defer func() { <-limit }()
					row.Results[i] = Run(Setup{
						Deployment: d, Load: load, Policy: p, Fault: fault, Seed: uint64(i + 1), WarmUp: DefaultWarmUp, Measure: DefaultMeasure,
					})
				})
			}
		}
	}
	running.Wait()
	return c
}
