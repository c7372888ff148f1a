"""The closed list of error kinds."""

import enum


class ErrorKind(enum.Enum):
    """Every way a request can fail, as callers and operators see it."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    VERSION_CONFLICT = "version_conflict"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    HELD_BACK = "held_back"
    NO_QUORUM = "no_quorum"
    NOT_IN_FORCE = "not_in_force"
    TARGET_FAILED = "target_failed"
    GENERATION_LOST = "generation_lost"
    STOPPED_EARLY = "stopped_early"
    TIMEOUT = "timeout"
    INTERNAL = "internal"
