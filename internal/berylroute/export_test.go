package berylroute

// DepartingRuns returns the number of runs that the registry remembers as leaving.
func DepartingRuns(r *Registry) int {
	return len(r.departing.lastSeen)
}
