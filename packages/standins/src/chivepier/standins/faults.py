"""Fault switches of the stand-ins."""

import attrs


@attrs.define(kw_only=True)
class Faults:
    """Set over HTTP by tests; ``None`` means off.

    ``die_after``, ``cut_after`` and ``stall_after`` count tokens of one
    stream, or calls of a plain service.
    """

    die_after: int | None = None
    cut_after: int | None = None
    stall_after: int | None = None
    stall_seconds: float = 60.0
    cross: bool = False
    delay: float = 0.0
    drop_answer: bool = False
    refuse: bool = False

    def update(self, plain: dict) -> None:
        """Set switches by name.

        :param plain: switches and values
        :raises ValueError: for an unknown switch
        """
        known = {field.name for field in attrs.fields(Faults)}
        for name, value in plain.items():
            if name not in known:
                raise ValueError(f"unknown fault {name!r}")
            setattr(self, name, value)
