"""What an answer is to a stream that has begun."""

import enum


class Continuation(enum.Enum):
    """What the head of an answer is to a stream that has begun."""

    CONTINUES = "continues"
    # its target says that it did not run the request
    NOT_RUN = "not_run"
    # it names another request, or none
    OTHER_REQUEST = "request"
    STATUS = "status"
    # without the signature of a target, as an error of what stands before it
    UNSIGNED = "signature"
    TYPE = "type"
    CODING = "coding"
