"""Benchmarks of the decisions: fake engines, baselines, scenarios."""
