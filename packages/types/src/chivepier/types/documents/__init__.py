"""Configuration documents: templates and team parameters."""

from chivepier.types.documents.document import Document
from chivepier.types.documents.grant import Grant
from chivepier.types.documents.routerule import RouteRule
from chivepier.types.documents.spec import pack_spec
from chivepier.types.documents.spec import parse_spec
from chivepier.types.documents.spec import plain_spec
from chivepier.types.documents.spec import unpack_spec
from chivepier.types.documents.team import Team
from chivepier.types.documents.template import Template

__all__ = [
    "Document",
    "Grant",
    "RouteRule",
    "Team",
    "Template",
    "pack_spec",
    "parse_spec",
    "plain_spec",
    "unpack_spec",
]
