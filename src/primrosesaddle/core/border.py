"""Convert raw mappings to validated models, one field at a time, keeping all faults."""

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
    """Convert a mapping to a model.

    Return the model, or None with the faults of every field that was refused.
    """
    fields = {field.encode_name: field for field in msgspec.structs.fields(model)}
    faults = [
        errors.Fault(source, f'{path}.{key}', raw[key], _known(fields))
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


def _known(fields: Mapping[str, object]) -> str:
    return 'unknown field; allowed: {0}'.format(', '.join(sorted(fields)))
