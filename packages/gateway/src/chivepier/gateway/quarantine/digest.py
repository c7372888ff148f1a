"""Digests that identify a repeated request independently of its id."""

import functools
import hashlib

# Size in bytes: large enough that digests do not collide by chance, and that
# no caller can produce the digest of another one's request.
DIGEST_BYTES = 16
# Separates digests of parts from those of requests.
PART_DOMAIN = b"prompt-part"
# Digests kept: popular parts are in most requests.
MAX_CACHED_PARTS = 4_096
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


@functools.lru_cache(maxsize=MAX_CACHED_PARTS)
def digest_part(part: str) -> str:
    """Compute the digest of a part that prompts share.

    Identifiers of parts are whatever callers send. Their digests have one
    size, and can't be confused with those of requests.

    >>> digest_part("5c1e07a2") == digest_request(None, b"5c1e07a2")
    False

    :param part: identifier of the part
    :returns: the digest in hexadecimal
    """
    return hashlib.blake2b(
        part.encode(errors="surrogateescape"),
        digest_size=DIGEST_BYTES,
        person=PART_DOMAIN,
    ).hexdigest()


def shorten(digest: str) -> str:
    """Return the prefix of a digest that log lines show."""
    return digest[:SHORT_DIGEST_LENGTH]
