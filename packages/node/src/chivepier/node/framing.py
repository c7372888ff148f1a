"""What ends the body of a target's answer."""

import aiohttp

SWITCH_STATUS = 101
BODILESS_STATUSES = (204, 304)


def is_framed(answer: aiohttp.ClientResponse) -> bool:
    """Tell whether an answer that was read to its end is known to be whole.

    Without a length or chunks a body ends with its connection, which ends in
    the same way where the target is killed; the HTTP library tells no reset
    from a close either. It reads a body in any other coding like that, too.

    :param answer: the answer; its body may have been read
    :returns: whether its head tells where the body ends
    """
    if answer.status == SWITCH_STATUS:
        return False
    if answer.method == "HEAD" or answer.status in BODILESS_STATUSES:
        return True
    fields = answer.headers.getall("Transfer-Encoding", ())
    codings = ",".join(fields).lower()
    if codings.strip() in ("", "identity"):
        return "Content-Length" in answer.headers
    return codings.strip() == "chunked"
