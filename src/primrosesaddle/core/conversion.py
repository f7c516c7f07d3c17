"""Conversion of mappings to validated structs, collecting the faults of all fields."""

import typing
from collections.abc import Mapping

import msgspec

from primrosesaddle.core import errors

__all__ = ('convert',)

_Model = typing.TypeVar('_Model', bound=msgspec.Struct)


def convert(
    model: type[_Model],
    raw: Mapping[str, object],
    source: str,
    path: str,
    *,
    strict: bool = True,
) -> tuple[_Model | None, list[errors.Fault]]:
    """Convert a mapping to a struct, field by field.

    `source` and `path` tell where the mapping stands, for the faults. `strict` turns
    off conversions between types, such as from text to a number.

    Returns the struct and an empty list, or None and a fault for each field that is
    missing, unknown or invalid.
    """
    fields = {field.encode_name: field for field in msgspec.structs.fields(model)}
    faults = [
        errors.Fault(source, f'{path}.{key}', raw[key], _describe_allowed(fields))
        for key in raw
        if key not in fields
    ]
    parsed: dict[str, object] = {}
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                faults.append(
                    errors.Fault(source, f'{path}.{name}', None, 'required field'),
                )
            continue
        try:
            parsed[field.name] = msgspec.convert(raw[name], field.type, strict=strict)
        except msgspec.ValidationError as exc:
            faults.append(
                errors.Fault(source, f'{path}.{name}', raw[name], str(exc)),
            )
    if faults:
        return None, faults
    return model(**parsed), []


def _describe_allowed(fields: Mapping[str, object]) -> str:
    return 'unknown field; allowed: {0}'.format(', '.join(sorted(fields)))
