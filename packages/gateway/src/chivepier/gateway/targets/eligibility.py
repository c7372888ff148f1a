"""Which targets of a service a request may be sent to."""

import attrs

from chivepier.gateway.targets.target import Target


@attrs.frozen
class Eligibility:
    """The targets that a request may be sent to, whatever their load.

    What two versions of a target's software write does not fit together, so a
    stream that has begun goes on at its own version only. Versions have no
    order, and one that is not known is not taken for any other.

    :param regions: regions of the targets; ``None`` for all
    :param software_version: version of their software; ``None`` for any,
        empty if the one that is needed is not known
    """

    regions: frozenset[str] | None = None
    software_version: str | None = None

    def fits_version(self, target: Target) -> bool:
        """Tell whether a target runs the version.

        >>> Eligibility(software_version="").fits_version(None)
        False

        :param target: the target
        """
        if self.software_version is None:
            return True
        return (
            bool(self.software_version)
            and target.software_version == self.software_version
        )


ANY_TARGET = Eligibility()
