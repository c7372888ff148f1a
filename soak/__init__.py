"""A randomized soak test: real processes, injected faults, invariants."""
