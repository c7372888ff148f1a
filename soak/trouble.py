"""Troubles of a deployment that a press scenario plays."""

import enum


class Trouble(enum.Enum):
    """What goes wrong while callers press.

    Of targets: ``GREY`` fails a part of the requests, ``DARK`` answers none,
    ``FLAP`` goes down and up, ``RELEASE`` replaces one after the other,
    ``SCALE_IN`` takes one away, ``CRASH`` ends one amid requests,
    ``ANSWER_LOST`` and ``GARBLE`` spoil answers.

    Of our processes: ``KILL``, ``FREEZE`` and ``STOP`` hit an entry,
    ``VOTER_KILL`` and ``VOTER_FREEZE`` a voter, ``WIPE`` its data after an
    acknowledgement, ``HERD_KILL`` all at once.

    Of links: ``CUT`` cuts an entry off, ``SLOW`` delays, ``SILENCE`` drops.

    Of operators: ``CHANGES`` of the configuration in quick succession, by two
    of them at once, and ``BAD_CONFIG``.

    Of callers: ``BURST`` is more of them, ``SHIFT`` all at one entry,
    ``REPEAT`` at once after a refusal, ``GIVE_UP`` before the answer.
    """

    GREY = "grey"
    DARK = "dark"
    FLAP = "flap"
    RELEASE = "release"
    SCALE_IN = "scale_in"
    CRASH = "crash"
    ANSWER_LOST = "answer_lost"
    GARBLE = "garble"
    KILL = "kill"
    FREEZE = "freeze"
    STOP = "stop"
    VOTER_KILL = "voter_kill"
    VOTER_FREEZE = "voter_freeze"
    WIPE = "wipe"
    HERD_KILL = "herd_kill"
    CUT = "cut"
    SLOW = "slow"
    SILENCE = "silence"
    CHANGES = "changes"
    BAD_CONFIG = "bad_config"
    BURST = "burst"
    SHIFT = "shift"
    REPEAT = "repeat"
    GIVE_UP = "give_up"
