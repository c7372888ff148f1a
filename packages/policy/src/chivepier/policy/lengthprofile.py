"""What is known of the length of one request's output."""

import abc


class LengthProfile(abc.ABC):
    """The distribution of a length, as far as it is known."""

    @abc.abstractmethod
    def survive(self, tokens: int) -> tuple[float, ...]:
        """Return the chances to get so many tokens further.

        :param tokens: tokens that came so far
        :returns: one probability for each of ``HORIZONS``, the first is 1
        """

    @abc.abstractmethod
    def expect(self, tokens: int) -> float:
        """Return the mean length, given the tokens that came so far."""

    @abc.abstractmethod
    def quantile(self, part: float, tokens: int = 0) -> float:
        """Return the length that a part of the outputs does not exceed.

        :param part: from 0 to 1
        :param tokens: tokens that came so far
        :returns: tokens
        """
