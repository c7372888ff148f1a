"""Kinds of order."""

import enum


class OrderKind(enum.Enum):
    """What a target may be told to do; the value is the protocol's."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"
