"""Structured log lines for the analysis of failures."""

from chivepier.gateway.eventlog.eventlog import EventLog
from chivepier.gateway.eventlog.libraryhandler import LibraryHandler

__all__ = ["EventLog", "LibraryHandler"]
