"""The short way for messages of plain fields."""

import functools
import operator
import typing

import attrs

PLAIN = (int, float, str, bool, bytes)


class FlatForm:
    """Takes a flat message apart and builds it again.

    Most messages between nodes have plain fields, tuples of them and tuples
    of such messages; the general converter looks at each field anew, and took
    a third of the time of a permit, and most of what a voter spent on telling
    loads.  What doesn't fit exactly is left to that converter.
    """

    def __init__(self, cls: type):
        fields = attrs.fields(cls)
        names = [field.name for field in fields]
        self._cls = cls
        self._types = [
            field.type if field.type in PLAIN else list for field in fields
        ]
        items = [
            (place, typing.get_args(field.type)[0])
            for place, field in enumerate(fields)
            if field.type not in PLAIN
        ]
        self._items = [(place, item) for place, item in items if item in PLAIN]
        self._nested = [
            (place, find_form(item))
            for place, item in items
            if item not in PLAIN
        ]
        self._get = operator.attrgetter(*names) if names else None
        self._single = len(names) == 1

    def take_apart(self, value: typing.Any) -> tuple:
        """Return a message's fields in their order of declaration."""
        if self._get is None:
            return ()
        fields = self._get(value)
        if self._single:
            fields = (fields,)
        if not self._nested:
            return fields
        plain = list(fields)
        for place, form in self._nested:
            plain[place] = tuple(map(form.take_apart, plain[place]))
        return tuple(plain)

    def fits(self, fields: typing.Any) -> bool:
        """Tell whether plain values have exactly the declared types."""
        if type(fields) is not list or list(map(type, fields)) != self._types:
            return False
        return all(
            set(map(type, fields[place])) <= {item}
            for place, item in self._items
        ) and all(
            all(map(form.fits, fields[place])) for place, form in self._nested
        )

    def build(self, fields: list) -> typing.Any:
        """Build the message from plain values that fit."""
        for place, _ in self._items:
            fields[place] = tuple(fields[place])
        for place, form in self._nested:
            fields[place] = tuple(map(form.build, fields[place]))
        return self._cls(*fields)


@functools.cache
def find_form(cls: type) -> FlatForm | None:
    """Return the short way for a class, ``None`` where it has none.

    >>> from chivepier.messages import Noop
    >>> find_form(Noop).take_apart(Noop())
    ()

    :param cls: a registered message class
    :returns: its form, if all fields are plain, or tuples of plain values or
        of messages that have a form
    """
    if all(_is_flat(field.type) for field in attrs.fields(cls)):
        return FlatForm(cls)
    return None


def _is_flat(kind: typing.Any) -> bool:
    if kind in PLAIN:
        return True
    item, *rest = typing.get_args(kind) or (None,)
    if typing.get_origin(kind) is not tuple or rest != [...]:
        return False
    return item in PLAIN or attrs.has(item) and find_form(item) is not None
