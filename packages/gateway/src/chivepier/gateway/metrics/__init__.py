"""Counters and histograms of an entry."""

from chivepier.gateway.metrics.metrics import Metrics

__all__ = ["Metrics"]
