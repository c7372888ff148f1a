"""The interface of decisions for one shard of targets."""

import abc

from chivepier.messages import PermitOutcome
from chivepier.policy.ask import Ask
from chivepier.policy.decisions import Decision
from chivepier.policy.held import Held
from chivepier.policy.targetview import TargetView


class Policy(abc.ABC):
    """Admission, sharing and placement for the targets of one shard.

    It does no I/O: the owner tells it what happens and carries out what
    :meth:`decide` returns, and so does the benchmark.  Every request that
    was submitted gets exactly one grant or refusal, unless it is cancelled.
    """

    @abc.abstractmethod
    def set_target(self, view: TargetView) -> None:
        """Add a target, or replace what is known of it."""

    @abc.abstractmethod
    def remove_target(self, target: str) -> None:
        """Forget a target; what it ran stays held until released."""

    @abc.abstractmethod
    def submit(self, ask: Ask) -> None:
        """Take a request in."""

    @abc.abstractmethod
    def cancel(self, request: str) -> None:
        """Drop a waiting request whose caller left."""

    @abc.abstractmethod
    def adopt(self, held: Held) -> None:
        """Count a request that an earlier owner had admitted."""

    @abc.abstractmethod
    def progress(self, permit: int, tokens: int) -> None:
        """Note the tokens a request has delivered so far, in all."""

    @abc.abstractmethod
    def release(
        self, permit: int, tokens: int, outcome: PermitOutcome
    ) -> None:
        """Note a permit's end; an unknown permit is no error."""

    @abc.abstractmethod
    def decide(self) -> list[Decision]:
        """Return what is decided now; called after events and on a timer."""
