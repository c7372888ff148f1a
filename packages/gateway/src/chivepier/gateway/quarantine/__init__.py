"""Holding back requests under which target after target ends."""

from chivepier.gateway.quarantine.digest import digest_request
from chivepier.gateway.quarantine.digest import shorten

__all__ = ["digest_request", "shorten"]
