"""What an entry tells voters of its instance."""

import attrs


@attrs.frozen(kw_only=True)
class Ability:
    """Limits and usage in the units of a beat; see :class:`EntryBeat`.

    :param millicores: processor time per second, in thousandths of a core
    :param memory_mb: memory in MB
    :param link_kbps: rate of the network link, in kbit/s
    :param descriptors: open files and connections
    :param busy_percent: largest used share
    :param rotation: number of its rotation among the answers to callers
    """

    millicores: int = 0
    memory_mb: int = 0
    link_kbps: int = 0
    descriptors: int = 0
    busy_percent: int = 0
    rotation: int = 0
