"""The short way for messages of plain fields."""

import functools
import operator
import typing

import attrs

PLAIN = (int, float, str, bool, bytes)


class FlatForm:
    """Takes a flat message apart and builds it again.

    Most messages between nodes have plain fields and tuples of them; the
    general converter looks at each field anew, and took a third of the time
    of a permit.  What doesn't fit exactly is left to that converter.
    """

    def __init__(self, cls: type):
        fields = attrs.fields(cls)
        names = [field.name for field in fields]
        self._cls = cls
        self._types = [
            field.type if field.type in PLAIN else list for field in fields
        ]
        self._items = [
            (place, typing.get_args(field.type)[0])
            for place, field in enumerate(fields)
            if field.type not in PLAIN
        ]
        self._get = operator.attrgetter(*names) if names else None
        self._single = len(names) == 1

    def take_apart(self, value: typing.Any) -> tuple:
        """Return a message's fields in their order of declaration."""
        if self._get is None:
            return ()
        fields = self._get(value)
        return (fields,) if self._single else fields

    def fits(self, fields: typing.Any) -> bool:
        """Tell whether plain values have exactly the declared types."""
        if type(fields) is not list or list(map(type, fields)) != self._types:
            return False
        return all(
            set(map(type, fields[place])) <= {item}
            for place, item in self._items
        )

    def build(self, fields: list) -> typing.Any:
        """Build the message from plain values that fit."""
        for place, _ in self._items:
            fields[place] = tuple(fields[place])
        return self._cls(*fields)


@functools.cache
def find_form(cls: type) -> FlatForm | None:
    """Return the short way for a class, ``None`` where it has none.

    >>> from chivepier.messages import Noop
    >>> find_form(Noop).take_apart(Noop())
    ()

    :param cls: a registered message class
    :returns: its form, if all fields are plain or tuples of plain values
    """
    if all(_is_flat(field.type) for field in attrs.fields(cls)):
        return FlatForm(cls)
    return None


def _is_flat(kind: typing.Any) -> bool:
    if kind in PLAIN:
        return True
    item, *rest = typing.get_args(kind) or (None,)
    return typing.get_origin(kind) is tuple and (
        item in PLAIN and rest == [...]
    )
