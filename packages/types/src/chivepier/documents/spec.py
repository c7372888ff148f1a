"""Decoding and checking of document specs."""

import typing

import cattrs
import cbor2
from result import Err
from result import Ok
from result import Result

from chivepier.documents.document import Document
from chivepier.documents.team import Team
from chivepier.documents.template import Template
from chivepier.types.errorkind import ErrorKind
from chivepier.types.failure import Failure
from chivepier.types.urgency import Urgency

# defaults are left out, as all packed teams must fit a node's memory: so a
# default of a document's field never changes its meaning
CONVERTER = cattrs.Converter(
    omit_if_default=True,
    forbid_extra_keys=True,
    detailed_validation=False,
)
CONVERTER.register_structure_hook(
    Urgency, lambda value, _: Urgency[str(value).upper()]
)
CONVERTER.register_unstructure_hook(Urgency, lambda value: value.name.lower())

SPEC_TYPES: dict[str, type] = {"template": Template, "team": Team}


def parse_spec(
    kind: str, plain: typing.Any
) -> Result[Template | Team, Failure]:
    """Check a spec that an operator wrote.

    >>> parse_spec("template", {"pool": "p", "speed": 1}).is_err()
    True

    :param kind: ``template`` or ``team``
    :param plain: the mapping from the document's ``spec``
    :returns: the typed spec, or one clear failure
    """
    if kind not in SPEC_TYPES:
        return _refuse(f"unknown kind {kind!r}")
    if not isinstance(plain, dict):
        return _refuse("spec is not a mapping")
    try:
        return Ok(CONVERTER.structure(plain, SPEC_TYPES[kind]))
    except (
        TypeError,
        ValueError,
        KeyError,
        AttributeError,
        OverflowError,
    ) as error:
        return _refuse(f"{kind}: {error!r}")
    except cattrs.BaseValidationError as error:
        return _refuse(f"{kind}: {error}")
    except cattrs.errors.ForbiddenExtraKeysError as error:
        return _refuse(f"{kind}: {error}")


def _refuse(message: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.BAD_REQUEST, message))


def pack_spec(spec: Template | Team) -> bytes:
    """Pack a spec for the log.

    :param spec: the typed spec
    :returns: CBOR of its plain form
    """
    return cbor2.dumps(CONVERTER.unstructure(spec))


def plain_spec(document: Document) -> dict:
    """Return a document's spec in its plain form.

    :param document: the stored document
    :returns: the mapping as an operator would write it
    """
    return cbor2.loads(document.spec)


def unpack_spec(document: Document) -> Template | Team:
    """Decode a stored document's spec.

    :param document: the stored document
    :returns: the typed spec
    """
    return unpack_plain(document.kind, document.spec)


def unpack_plain(kind: str, spec: bytes) -> Template | Team:
    """Decode what :func:`pack_spec` made.

    :param kind: ``template`` or ``team``
    :param spec: the packed spec
    :returns: the typed spec
    """
    return CONVERTER.structure(cbor2.loads(spec), SPEC_TYPES[kind])
