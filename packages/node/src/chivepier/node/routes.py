"""Whether a plain service's call may be repeated."""

from chivepier.documents import RouteRule

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


def is_idempotent(
    rules: tuple[RouteRule, ...], method: str, path: str
) -> bool:
    """Look a call up in the template's rules.

    The rule with the longest path that fits decides; without one only safe
    methods may be repeated.

    >>> rule = RouteRule(path="/r", methods=("PUT",), idempotent=True)
    >>> is_idempotent((rule,), "PUT", "/r/1"), is_idempotent((), "PUT", "/r")
    (True, False)

    :param rules: of the template
    :param method: HTTP method, in capitals
    :param path: with a leading slash
    :returns: whether it may be sent to a second target
    """
    fitting = [rule for rule in rules if _fits(rule, method, path)]
    if not fitting:
        return method in SAFE_METHODS
    longest = max(len(rule.path) for rule in fitting)
    return all(r.idempotent for r in fitting if len(r.path) == longest)


def _fits(rule: RouteRule, method: str, path: str) -> bool:
    if rule.methods and method not in rule.methods:
        return False
    prefix = rule.path.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")
