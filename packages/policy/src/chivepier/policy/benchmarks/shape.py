"""The size and speed of a fake engine."""

import attrs


@attrs.frozen(kw_only=True)
class Shape:
    """An engine's limits, and what an iteration costs in seconds.

    One iteration gives a token to every stream that decodes, and takes
    ``base + per_stream * streams + per_held * held + per_prefill * chunk``
    seconds, where ``held`` counts cached tokens and ``chunk`` the prompt
    tokens computed in it, at most ``chunk_tokens``.  The figures have the
    form of published measurements of continuous batching; they stand for no
    engine in particular.
    """

    capacity_tokens: int = 40_000
    max_streams: int = 64
    chunk_tokens: int = 2048
    base: float = 0.011
    per_stream: float = 0.00012
    per_held: float = 1e-7
    per_prefill: float = 2e-5
