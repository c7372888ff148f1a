"""What operators decide about single requests."""

import attrs


@attrs.frozen
class Orders:
    """Digests' heads, as log lines show them; they go before the evidence.

    >>> orders = Orders(let_through=("0a1b",), keep_out=("ff",))
    >>> orders.lets_through("0a1b22"), orders.keeps_out("0a1b22")
    (True, False)

    :param let_through: requests that are sent whatever has ended under them
    :param keep_out: requests that are sent to no target
    """

    let_through: tuple[str, ...] = ()
    keep_out: tuple[str, ...] = ()

    def lets_through(self, digest: str) -> bool:
        """Tell whether a request goes on whatever the evidence."""
        return digest.startswith(self.let_through)

    def keeps_out(self, digest: str) -> bool:
        """Tell whether a request is turned away without any."""
        return digest.startswith(self.keep_out)
