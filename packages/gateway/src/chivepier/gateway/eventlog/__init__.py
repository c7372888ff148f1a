"""Structured lines for whoever explains a failure afterwards."""

from chivepier.gateway.eventlog.eventlog import EventLog

__all__ = ["EventLog"]
