"""Structured log lines for the analysis of failures."""

from chivepier.gateway.eventlog.eventlog import EventLog

__all__ = ["EventLog"]
