"""What operators decide about single requests."""

import re

import attrs

# Fewer characters could mean other requests, too.
DIGEST_PREFIX = re.compile("[0-9a-f]{8,32}")


def _check(
    orders: "Overrides", field: attrs.Attribute, prefixes: tuple
) -> None:
    for prefix in prefixes:
        if not DIGEST_PREFIX.fullmatch(prefix):
            text = f"{field.name} is not the head of a digest: {prefix!r}"
            raise ValueError(text)


@attrs.frozen
class Overrides:
    """Digests' heads, as log lines show them; they go before the evidence.

    >>> orders = Overrides(let_through=("0a1b0a1b",), keep_out=("ffffffff",))
    >>> orders.allows("0a1b0a1b22"), orders.blocks("0a1b0a1b22")
    (True, False)

    :param let_through: requests that are sent whatever has ended under them
    :param keep_out: requests that are sent to no target
    :raises ValueError: when one is no digest's head of 8 digits or more
    """

    let_through: tuple[str, ...] = attrs.field(default=(), validator=_check)
    keep_out: tuple[str, ...] = attrs.field(default=(), validator=_check)

    def allows(self, digest: str) -> bool:
        """Tell whether a request goes on whatever the evidence."""
        return digest.startswith(self.let_through)

    def blocks(self, digest: str) -> bool:
        """Tell whether a request is turned away without any."""
        return digest.startswith(self.keep_out)
