"""Parts of a process that go on after an error."""

from chivepier.gateway.supervision.supervisor import Supervisor

__all__ = ["Supervisor"]
