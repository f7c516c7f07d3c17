"""The catalogue: validated entries, their references, digests and deltas."""

import dataclasses
import enum
import hashlib
import typing
from collections.abc import Iterable, Mapping

import msgspec

from primrosesaddle.core import conversion, errors

__all__ = ('Catalogue', 'Delta', 'Rank', 'apply_delta', 'make_delta', 'parse', 'schema')

_Name = typing.Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]{0,63}$')]
_Digest = typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
_Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
_Count = typing.Annotated[int, msgspec.Meta(ge=1)]
_Share = typing.Annotated[float, msgspec.Meta(gt=0, le=1)]
_MAX_BYTES = 1024 * 1024


class Rank(enum.IntEnum):
    """Ranks of work, the most urgent first."""

    URGENT = 0
    STANDARD = 1
    LOW = 2


RankName = typing.Literal['urgent', 'standard', 'low']


class ModelLimits(msgspec.Struct, frozen=True):
    """Limits of a model; shares are of its servers and of its calls."""

    max_tokens: _Count = 1024
    switching_share: _Share = 0.34
    error_share: _Share = 0.2


class EngineTraits(msgspec.Struct, frozen=True):
    """What the engines that serve a model can do."""

    checks_fencing: bool = True
    resumes: bool = True


class Model(msgspec.Struct, frozen=True, tag='model', tag_field='kind'):
    """A model that callers name, and the version in force."""

    name: _Name
    owner: _Name
    class_: _Name = msgspec.field(name='class')
    version: _Name
    limits: ModelLimits = ModelLimits()
    engine: EngineTraits = EngineTraits()


class Adapter(msgspec.Struct, frozen=True, tag='adapter', tag_field='kind'):
    """A small set of weights over a base model, named by callers like a model."""

    name: _Name
    owner: _Name
    class_: _Name = msgspec.field(name='class')
    base: _Name
    version: _Name
    limits: ModelLimits = ModelLimits()


class VersionLimits(msgspec.Struct, frozen=True):
    """Limits of a version, in bytes."""

    max_bytes: _Count = 1 << 40


class Version(msgspec.Struct, frozen=True, tag='version', tag_field='kind'):
    """One published set of weights, pinned by its manifest's BLAKE3 digest."""

    name: _Name
    owner: _Name
    class_: _Name = msgspec.field(name='class')
    manifest: _Digest
    limits: VersionLimits = VersionLimits()


class WorkspaceLimits(msgspec.Struct, frozen=True):
    """Limits of one workspace over all entries, and its share of a queue."""

    requests_per_s: _Positive = 50.0
    tokens_per_s: _Positive = 20_000.0
    in_flight: _Count = 64
    weight: _Positive = 1.0


class Workspace(msgspec.Struct, frozen=True, tag='workspace', tag_field='kind'):
    """A caller's workspace: its token's SHA-256, and what it may use."""

    name: _Name
    owner: _Name
    class_: _Name = msgspec.field(name='class')
    token_sha256: _Digest
    may_use: tuple[_Name, ...]
    work: _Name
    limits: WorkspaceLimits = WorkspaceLimits()


class WorkLimits(msgspec.Struct, frozen=True):
    """Limits of one call of a kind of work."""

    deadline_ms: _Count = 30_000
    max_tokens: _Count = 1024


class Work(msgspec.Struct, frozen=True, tag='work', tag_field='kind'):
    """A kind of work and its rank."""

    name: _Name
    owner: _Name
    class_: _Name = msgspec.field(name='class')
    rank: RankName
    limits: WorkLimits = WorkLimits()


class ServiceLimits(msgspec.Struct, frozen=True):
    """Limits of a plain service."""

    max_body_bytes: _Count = _MAX_BYTES
    timeout_ms: _Count = 30_000


class PlainService(msgspec.Struct, frozen=True, tag='service', tag_field='kind'):
    """A plain service; `servers` names the homes of its non-idempotent keys."""

    name: _Name
    owner: _Name
    class_: _Name = msgspec.field(name='class')
    servers: tuple[_Name, ...]
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE')
    limits: ServiceLimits = ServiceLimits()


Entry = Model | Adapter | Version | Workspace | Work | PlainService
_KINDS: typing.Final[Mapping[str, type[msgspec.Struct]]] = {
    'model': Model,
    'adapter': Adapter,
    'version': Version,
    'workspace': Workspace,
    'work': Work,
    'service': PlainService,
}
EntryKey = tuple[str, str]


class Document(msgspec.Struct, frozen=True):
    """The published form of a catalogue."""

    revision: typing.Annotated[int, msgspec.Meta(ge=1)]
    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """One accepted revision; `order` never falls on a node."""

    revision: int
    entries: Mapping[EntryKey, Entry]
    digest: str
    workspaces_by_token_sha256: Mapping[str, Workspace]

    @property
    def sort_key(self) -> tuple[int, str]:
        """Return the place of this catalogue in the total order of revisions."""
        return (self.revision, self.digest)

    def get(self, kind: str, name: str) -> typing.Any:
        """Return an entry, or None."""
        return self.entries.get((kind, name))

    def entries_of_kind(self, kind: str) -> list[typing.Any]:
        """Return the entries of a kind."""
        return [entry for key, entry in self.entries.items() if key[0] == kind]

    def callable_entry(self, name: str) -> Model | Adapter | None:
        """Return the model or adapter that callers name so, or None."""
        return self.get('model', name) or self.get('adapter', name)

    def version_of(self, entry: Model | Adapter) -> Version:
        """Return the version in force of a model or adapter."""
        return typing.cast(Version, self.entries['version', entry.version])


class Delta(msgspec.Struct, array_like=True, frozen=True):
    """What changed between two revisions; `base` is empty for a whole copy."""

    base: str
    revision: int
    digest: str
    changed: tuple[Entry, ...]
    removed: tuple[EntryKey, ...]


EMPTY: typing.Final = Catalogue(0, {}, '', {})


def build(revision: int, entries: Iterable[Entry]) -> Catalogue:
    """Build a catalogue from checked entries, and return it."""
    table = {(_kind(entry), entry.name): entry for entry in entries}
    table = dict(sorted(table.items()))
    body = msgspec.json.encode((revision, list(table.values())))
    tokens = {
        entry.token_sha256: entry
        for entry in table.values()
        if isinstance(entry, Workspace)
    }
    return Catalogue(revision, table, hashlib.sha256(body).hexdigest(), tokens)


def parse(text: bytes, source: str) -> Catalogue:
    """Parse and check a published catalogue.

    Return the catalogue. Raises `FaultGroup` with every fault found.
    """
    raw = _load(text, source)
    revision = raw.get('revision')
    faults: list[errors.Fault] = []
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 1:
        faults.append(errors.Fault(source, '$.revision', revision, 'an integer >= 1'))
        revision = 1
    listed = raw.get('entries')
    if not isinstance(listed, list):
        faults.append(errors.Fault(source, '$.entries', listed, 'a list of entries'))
        listed = []
    faults.extend(
        errors.Fault(source, f'$.{key}', raw[key], 'allowed: revision, entries')
        for key in raw
        if key not in {'revision', 'entries'}
    )
    entries = _convert_entries(listed, source, faults)
    faults.extend(_reference_faults(entries, source))
    errors.raise_faults('catalogue refused', faults)
    return build(revision, entries.values())


def to_json(cat: Catalogue) -> bytes:
    """Return the published form of a catalogue as JSON."""
    return msgspec.json.encode(Document(cat.revision, tuple(cat.entries.values())))


def schema() -> dict[str, typing.Any]:
    """Return the published JSON schema of a catalogue."""
    return msgspec.json.schema(Document)


def make_delta(old: Catalogue, new: Catalogue) -> Delta:
    """Return what turns one catalogue into another."""
    changed = tuple(
        entry for key, entry in new.entries.items() if old.entries.get(key) != entry
    )
    removed = tuple(key for key in old.entries if key not in new.entries)
    return Delta(old.digest, new.revision, new.digest, changed, removed)


def apply_delta(old: Catalogue, delta: Delta) -> Catalogue | None:
    """Return the catalogue that a delta leads to, or None when it does not fit."""
    table = dict(old.entries) if delta.base else {}
    if delta.base and delta.base != old.digest:
        return None
    for key in delta.removed:
        table.pop(key, None)
    table.update({(_kind(entry), entry.name): entry for entry in delta.changed})
    new = build(delta.revision, table.values())
    return new if new.digest == delta.digest else None


def _kind(entry: Entry) -> str:
    return typing.cast(str, entry.__struct_config__.tag)


def _load(text: bytes, source: str) -> dict[str, typing.Any]:
    if len(text) > _MAX_BYTES:
        raise errors.FaultGroup(
            'catalogue refused',
            [
                errors.Fault(
                    source, '$', f'{len(text)} bytes', f'at most {_MAX_BYTES}'
                ),
            ],
        )
    try:
        return msgspec.json.decode(text, type=dict[str, typing.Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.FaultGroup(
            'catalogue refused',
            [
                errors.Fault(source, '$', text[:40], f'a JSON object ({exc})'),
            ],
        ) from None


def _convert_entries(
    listed: list[typing.Any],
    source: str,
    faults: list[errors.Fault],
) -> dict[EntryKey, Entry]:
    entries: dict[EntryKey, Entry] = {}
    for index, raw in enumerate(listed):
        path = f'$.entries[{index}]'
        entry, found = _convert_entry(raw, source, path)
        faults.extend(found)
        if entry is None:
            continue
        key = (_kind(entry), entry.name)
        if key in entries:
            allowed = 'a name used once'
            faults.append(errors.Fault(source, f'{path}.name', entry.name, allowed))
        entries[key] = entry
    return entries


def _convert_entry(
    raw: typing.Any,
    source: str,
    path: str,
) -> tuple[Entry | None, list[errors.Fault]]:
    kind = raw.get('kind') if isinstance(raw, dict) else None
    if not isinstance(kind, str) or kind not in _KINDS:
        allowed = 'allowed kinds: {0}'.format(', '.join(_KINDS))
        return None, [errors.Fault(source, f'{path}.kind', kind, allowed)]
    bare = {key: value for key, value in raw.items() if key != 'kind'}
    made, found = conversion.convert(_KINDS[kind], bare, source, path)
    return typing.cast(Entry | None, made), found


def _reference_faults(
    entries: dict[EntryKey, Entry],
    source: str,
) -> list[errors.Fault]:
    faults: list[errors.Fault] = []
    for (kind, name), entry in entries.items():
        where = f'{kind} {name}'
        for field, kinds, target in _references(entry):
            if not any((other, target) in entries for other in kinds):
                allowed = 'the name of a {0} here'.format(' or '.join(kinds))
                faults.append(errors.Fault(source, f'{where}.{field}', target, allowed))
        if isinstance(entry, Adapter) and ('model', name) in entries:
            allowed = 'a name that no model has'
            faults.append(errors.Fault(source, f'{where}.name', name, allowed))
    spaces = [entry for entry in entries.values() if isinstance(entry, Workspace)]
    return [*faults, *_token_faults(spaces, source)]


def _token_faults(spaces: list[Workspace], source: str) -> list[errors.Fault]:
    owners: dict[str, str] = {}
    faults = []
    for space in spaces:
        owner = owners.setdefault(space.token_sha256, space.name)
        if owner != space.name:
            where = f'workspace {space.name}.token_sha256'
            allowed = f'a token unlike that of {owner}'
            faults.append(errors.Fault(source, where, space.token_sha256, allowed))
    return faults


def _references(entry: Entry) -> list[tuple[str, tuple[str, ...], str]]:
    if isinstance(entry, Model):
        return [('version', ('version',), entry.version)]
    if isinstance(entry, Adapter):
        return [
            ('version', ('version',), entry.version),
            ('base', ('model',), entry.base),
        ]
    if isinstance(entry, Workspace):
        used = ('model', 'adapter', 'service')
        found = [('may_use', used, name) for name in entry.may_use]
        return [('work', ('work',), entry.work), *found]
    return []
