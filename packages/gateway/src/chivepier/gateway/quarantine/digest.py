"""Telling the same request from others, whatever id it comes under."""

import hashlib

# Bytes: no two requests ever share one by chance, and no caller can make one
# that another's request has.
DIGEST_BYTES = 16
# Characters of it in logs and settings: enough to tell requests apart there.
SHORT_DIGEST_LENGTH = 12


def digest_request(team: str | None, *parts: bytes) -> str:
    """Digest what makes a request the same one when it comes again.

    A caller that asks again uses a new id each time; path, team and body
    stay. The team is part of it, so that no team's request is taken for
    another's, and none can have another's refused. Each part goes in with its
    length: what ends one can't begin the next.

    >>> digest_request("a", b"/x", b"") == digest_request("a", b"/x", b"")
    True
    >>> digest_request("a", b"/x", b"") == digest_request("b", b"/x", b"")
    False

    :param team: whose it is; ``None`` where the route asks for none
    :param parts: method, host, path with query, and the whole body
    :returns: hexadecimal text
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    owner = b"" if team is None else b"t" + team.encode()
    for part in (owner, *parts):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def shorten(digest: str) -> str:
    """Return a digest's head, for a line of a log."""
    return digest[:SHORT_DIGEST_LENGTH]
