"""Operators' overrides of the quarantine for single requests."""

import re

import attrs

# Shorter prefixes could match unrelated requests.
DIGEST_PREFIX = re.compile("[0-9a-f]{8,32}")


def _check(
    overrides: "Overrides", field: attrs.Attribute, prefixes: tuple
) -> None:
    for prefix in prefixes:
        if not DIGEST_PREFIX.fullmatch(prefix):
            text = f"{field.name} is not the head of a digest: {prefix!r}"
            raise ValueError(text)


@attrs.frozen
class Overrides:
    """Digest prefixes, as in log lines, that override the evidence.

    >>> rules = Overrides(let_through=("0a1b0a1b",), keep_out=("ffffffff",))
    >>> rules.allows("0a1b0a1b22"), rules.blocks("0a1b0a1b22")
    (True, False)

    :param let_through: requests that are sent regardless of the evidence
    :param keep_out: requests that are never sent to a target
    :raises ValueError: if one is not a digest prefix of 8 to 32 digits
    """

    let_through: tuple[str, ...] = attrs.field(default=(), validator=_check)
    keep_out: tuple[str, ...] = attrs.field(default=(), validator=_check)

    def allows(self, digest: str) -> bool:
        """Tell whether a request is allowed regardless of the evidence."""
        return digest.startswith(self.let_through)

    def blocks(self, digest: str) -> bool:
        """Tell whether a request is refused without evidence."""
        return digest.startswith(self.keep_out)
