"""Digests that identify a repeated request independently of its id."""

import hashlib

# Size in bytes: large enough that digests do not collide by chance, and that
# no caller can produce the digest of another one's request.
DIGEST_BYTES = 16
# Hexadecimal digits in logs and settings: enough to tell requests apart there.
SHORT_DIGEST_LENGTH = 12


def digest_request(team: str | None, *parts: bytes) -> str:
    """Compute a digest that stays the same when a request is repeated.

    A retried request has a new id, but the same path, team and body. The
    digest includes the team, so that no team can get another team's request
    refused. Each part is prefixed with its length, so that boundaries between
    parts are unambiguous.

    >>> digest_request("a", b"/x", b"") == digest_request("a", b"/x", b"")
    True
    >>> digest_request("a", b"/x", b"") == digest_request("b", b"/x", b"")
    False

    :param team: team of the caller; ``None`` if the route requires none
    :param parts: method, host, path with query, and the whole body
    :returns: the digest in hexadecimal
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    owner = b"" if team is None else b"t" + team.encode()
    for part in (owner, *parts):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def shorten(digest: str) -> str:
    """Return the prefix of a digest that log lines show."""
    return digest[:SHORT_DIGEST_LENGTH]
