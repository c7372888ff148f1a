"""The interface of length estimates."""

import abc

from chivepier.policy.ask import Ask
from chivepier.policy.lengthprofile import LengthProfile


class Lengths(abc.ABC):
    """Learns lengths from what comes, and tells what to expect."""

    @abc.abstractmethod
    def profile(self, ask: Ask) -> LengthProfile:
        """Return what is known of a request's length."""

    def advance(self, ask: Ask, before: int, after: int) -> None:
        """Note that a request in flight has come further.

        :param ask: the request
        :param before: tokens known before
        :param after: tokens known now
        """

    def finish(self, ask: Ask, tokens: int) -> None:
        """Note that a request ended by itself, up to here advanced.

        :param ask: the request
        :param tokens: its whole length
        """
