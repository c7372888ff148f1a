"""Configuration documents: templates and team parameters."""

from chivepier.documents.document import Document
from chivepier.documents.grant import Grant
from chivepier.documents.routerule import RouteRule
from chivepier.documents.spec import pack_spec
from chivepier.documents.spec import parse_spec
from chivepier.documents.spec import plain_spec
from chivepier.documents.spec import unpack_plain
from chivepier.documents.spec import unpack_spec
from chivepier.documents.team import Team
from chivepier.documents.template import Template

__all__ = [
    "Document",
    "Grant",
    "RouteRule",
    "Team",
    "Template",
    "pack_spec",
    "parse_spec",
    "plain_spec",
    "unpack_plain",
    "unpack_spec",
]
