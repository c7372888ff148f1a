"""The tags of messages on the wire and in the log."""

import functools
import importlib
import typing

import attrs

T = typing.TypeVar("T", bound=type)

TYPES: dict[int, type] = {}
TAGS: dict[type, int] = {}


def message(tag: int) -> typing.Callable[[T], T]:
    """Register an attrs class under a number that never changes.

    :param tag: unique number; a retired one is not given again
    :returns: the class decorator
    :raises ValueError: when two classes claim one tag
    """

    def register(cls: T) -> T:
        frozen = attrs.frozen(cls)
        if tag in TYPES:
            raise ValueError(f"tag {tag} is taken by {TYPES[tag].__name__}")
        TYPES[tag] = frozen
        TAGS[frozen] = tag
        return frozen

    return register


def find_type(tag: int) -> type:
    """Return the class of a tag.

    Classes are registered when they are imported; a message may be the first
    of its kind in this process.

    :param tag: the class's number
    :returns: the class
    :raises KeyError: when no class has it
    """
    if tag not in TYPES:
        _import_all()
    return TYPES[tag]


@functools.cache
def _import_all() -> None:
    package = importlib.import_module("chivepier.messages")
    for name in package.__all__:
        getattr(package, name)
