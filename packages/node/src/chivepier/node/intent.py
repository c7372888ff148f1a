"""What a pool's templates intend."""

import collections.abc

import attrs

from chivepier.documents import Template
from chivepier.messages import Announcement
from chivepier.types import TargetKind


@attrs.define(kw_only=True)
class Intent:
    """One model that the targets of a pool are to serve.

    Templates of one pool that name the same model and version are one
    intent.  An empty ``version`` is content with any.
    """

    pool: str
    model: str
    version: str
    urgency: int
    min_targets: int
    adapters: set[str]

    @property
    def name(self) -> str:
        """The model as targets announce it."""
        return f"{self.model}@{self.version}"

    def is_served(self, target: Announcement) -> bool:
        """Tell whether a target has the model in the intended version."""
        if self.version:
            return self.name in target.models
        return self.is_held(target)

    def is_held(self, target: Announcement) -> bool:
        """Tell whether a target has the model in whatever version."""
        return any(m.partition("@")[0] == self.model for m in target.models)

    def list_old(self, target: Announcement) -> list[str]:
        """Return the versions of the model that are to go."""
        if not self.version:
            return []
        names = [m.partition("@") for m in target.models]
        return [
            version
            for model, _, version in names
            if model == self.model and version != self.version
        ]


def list_intents(
    templates: collections.abc.Iterable[Template],
) -> list[Intent]:
    """Collect the intents of all templates, urgent ones first.

    :param templates: of all pools
    :returns: one intent per pool, model and version
    """
    found: dict[tuple[str, str, str], Intent] = {}
    for template in templates:
        if template.kind is not TargetKind.ENGINE or not template.model:
            continue
        key = (template.pool, template.model, template.model_version)
        intent = found.setdefault(
            key,
            Intent(
                pool=template.pool,
                model=template.model,
                version=template.model_version,
                urgency=int(template.urgency),
                min_targets=template.min_targets,
                adapters=set(),
            ),
        )
        intent.urgency = max(intent.urgency, int(template.urgency))
        intent.min_targets = max(intent.min_targets, template.min_targets)
        intent.adapters.update(template.adapters)
    return sorted(found.values(), key=lambda i: (-i.urgency, i.pool, i.name))
