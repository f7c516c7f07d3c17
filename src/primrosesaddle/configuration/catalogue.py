"""The catalogue: its entries, their validation, digests and deltas."""

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
    """Limits of a model or adapter.

    `switching_share` is the share of its servers that may switch versions at once,
    `error_share` the share of failed calls above which a rollout stops.
    """

    max_tokens: _Count = 1024
    switching_share: _Share = 0.34
    error_share: _Share = 0.2


class EngineTraits(msgspec.Struct, frozen=True):
    """What the engines of a model support.

    `checks_fencing`: they refuse orders with an old fencing number. `resumes`: they
    can continue a completion after a number of tokens.
    """

    checks_fencing: bool = True
    resumes: bool = True


class Model(msgspec.Struct, frozen=True, tag='model', tag_field='kind'):
    """A model that callers name in calls, and its version in force."""

    name: _Name
    owner: _Name
    class_: _Name = msgspec.field(name='class')
    version: _Name
    limits: ModelLimits = ModelLimits()
    engine: EngineTraits = EngineTraits()


class Adapter(msgspec.Struct, frozen=True, tag='adapter', tag_field='kind'):
    """A small set of weights on top of a base model; callers name it like a model."""

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
    """Limits of a workspace over all entries together, and its weight in queues."""

    requests_per_s: _Positive = 50.0
    tokens_per_s: _Positive = 20_000.0
    in_flight: _Count = 64
    weight: _Positive = 1.0


class Workspace(msgspec.Struct, frozen=True, tag='workspace', tag_field='kind'):
    """A workspace of callers.

    `token_sha256` is the SHA-256 of its token, `may_use` names models, adapters and
    services, `work` the kind of work of calls that name none.
    """

    name: _Name
    owner: _Name
    class_: _Name = msgspec.field(name='class')
    token_sha256: _Digest
    may_use: tuple[_Name, ...]
    work: _Name
    limits: WorkspaceLimits = WorkspaceLimits()


class WorkLimits(msgspec.Struct, frozen=True):
    """Limits of a single call of a kind of work."""

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
    """A plain service; `servers` names the agents that own its idempotency keys."""

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
    """One validated revision, by whose `sort_key` a process never goes back.

    `digest` is the SHA-256 of the revision and its sorted entries.
    """

    revision: int
    entries: Mapping[EntryKey, Entry]
    digest: str
    workspaces_by_token_sha256: Mapping[str, Workspace]

    @property
    def sort_key(self) -> tuple[int, str]:
        """Return the key by which catalogues are ordered: revision, then digest."""
        return (self.revision, self.digest)

    def get(self, kind: str, name: str) -> typing.Any:
        """Return an entry by kind and name, or None."""
        return self.entries.get((kind, name))

    def entries_of_kind(self, kind: str) -> list[typing.Any]:
        """Return the entries of a kind."""
        return [entry for key, entry in self.entries.items() if key[0] == kind]

    def callable_entry(self, name: str) -> Model | Adapter | None:
        """Return the model or adapter of a name, or None."""
        return self.get('model', name) or self.get('adapter', name)

    def version_of(self, entry: Model | Adapter) -> Version:
        """Return the version in force of a model or adapter."""
        return typing.cast(Version, self.entries['version', entry.version])


class Delta(msgspec.Struct, array_like=True, frozen=True):
    """The difference between two revisions.

    `base` is the digest of the old one, or empty when the delta holds all entries;
    `digest` is that of the new one.
    """

    base: str
    revision: int
    digest: str
    changed: tuple[Entry, ...]
    removed: tuple[EntryKey, ...]


EMPTY: typing.Final = Catalogue(0, {}, '', {})


def build(revision: int, entries: Iterable[Entry]) -> Catalogue:
    """Return a catalogue of validated entries."""
    entries_by_key = {(_kind_of(entry), entry.name): entry for entry in entries}
    entries_by_key = dict(sorted(entries_by_key.items()))
    body = msgspec.json.encode((revision, list(entries_by_key.values())))
    workspaces = {
        entry.token_sha256: entry
        for entry in entries_by_key.values()
        if isinstance(entry, Workspace)
    }
    return Catalogue(
        revision, entries_by_key, hashlib.sha256(body).hexdigest(), workspaces
    )


def parse(text: bytes, source: str) -> Catalogue:
    """Parse and validate a published catalogue, and return it.

    `source` names the document in faults. Raises `FaultGroup` with all faults.
    """
    raw = _decode_object(text, source)
    revision = raw.get('revision')
    faults: list[errors.Fault] = []
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 1:
        faults.append(errors.Fault(source, '$.revision', revision, 'an integer >= 1'))
        revision = 1
    raw_entries = raw.get('entries')
    if not isinstance(raw_entries, list):
        faults.append(
            errors.Fault(source, '$.entries', raw_entries, 'a list of entries')
        )
        raw_entries = []
    faults.extend(
        errors.Fault(source, f'$.{key}', raw[key], 'allowed: revision, entries')
        for key in raw
        if key not in {'revision', 'entries'}
    )
    entries = _convert_entries(raw_entries, source, faults)
    faults.extend(_find_reference_faults(entries, source))
    errors.raise_faults('catalogue refused', faults)
    return build(revision, entries.values())


def to_json(cat: Catalogue) -> bytes:
    """Return the published form of a catalogue as JSON."""
    return msgspec.json.encode(Document(cat.revision, tuple(cat.entries.values())))


def schema() -> dict[str, typing.Any]:
    """Return the JSON schema of a published catalogue."""
    return msgspec.json.schema(Document)


def make_delta(old: Catalogue, new: Catalogue) -> Delta:
    """Return the delta that turns one catalogue into another."""
    changed = tuple(
        entry for key, entry in new.entries.items() if old.entries.get(key) != entry
    )
    removed = tuple(key for key in old.entries if key not in new.entries)
    return Delta(old.digest, new.revision, new.digest, changed, removed)


def apply_delta(old: Catalogue, delta: Delta) -> Catalogue | None:
    """Apply a delta; return the new catalogue, or None if the delta does not fit."""
    entries = dict(old.entries) if delta.base else {}
    if delta.base and delta.base != old.digest:
        return None
    for key in delta.removed:
        entries.pop(key, None)
    entries.update({(_kind_of(entry), entry.name): entry for entry in delta.changed})
    new = build(delta.revision, entries.values())
    return new if new.digest == delta.digest else None


def _kind_of(entry: Entry) -> str:
    return typing.cast(str, entry.__struct_config__.tag)


def _decode_object(text: bytes, source: str) -> dict[str, typing.Any]:
    """Decode a JSON object of at most _MAX_BYTES.

    Raises `FaultGroup` when the text is longer or is not a JSON object.
    """
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
    raw_entries: list[typing.Any],
    source: str,
    faults: list[errors.Fault],
) -> dict[EntryKey, Entry]:
    """Convert entries to structs by kind and name; append what is wrong to `faults`."""
    entries: dict[EntryKey, Entry] = {}
    for index, raw in enumerate(raw_entries):
        path = f'$.entries[{index}]'
        entry, entry_faults = _convert_entry(raw, source, path)
        faults.extend(entry_faults)
        if entry is None:
            continue
        key = (_kind_of(entry), entry.name)
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
    """Convert an entry; return it, or None, and its faults."""
    kind = raw.get('kind') if isinstance(raw, dict) else None
    if not isinstance(kind, str) or kind not in _KINDS:
        allowed = 'allowed kinds: {0}'.format(', '.join(_KINDS))
        return None, [errors.Fault(source, f'{path}.kind', kind, allowed)]
    fields = {key: value for key, value in raw.items() if key != 'kind'}
    entry, faults = conversion.convert(_KINDS[kind], fields, source, path)
    return typing.cast(Entry | None, entry), faults


def _find_reference_faults(
    entries: dict[EntryKey, Entry],
    source: str,
) -> list[errors.Fault]:
    """Return faults of names that do not exist, and of names or tokens used twice."""
    faults: list[errors.Fault] = []
    for (kind, name), entry in entries.items():
        where = f'{kind} {name}'
        for field, kinds, target in _list_references(entry):
            if not any((target_kind, target) in entries for target_kind in kinds):
                allowed = 'the name of a {0} here'.format(' or '.join(kinds))
                faults.append(errors.Fault(source, f'{where}.{field}', target, allowed))
        if isinstance(entry, Adapter) and ('model', name) in entries:
            allowed = 'a name that no model has'
            faults.append(errors.Fault(source, f'{where}.name', name, allowed))
    workspaces = [entry for entry in entries.values() if isinstance(entry, Workspace)]
    return [*faults, *_find_token_faults(workspaces, source)]


def _find_token_faults(workspaces: list[Workspace], source: str) -> list[errors.Fault]:
    """Return the faults of workspaces that share a token."""
    owners: dict[str, str] = {}
    faults = []
    for workspace in workspaces:
        owner = owners.setdefault(workspace.token_sha256, workspace.name)
        if owner != workspace.name:
            where = f'workspace {workspace.name}.token_sha256'
            allowed = f'a token unlike that of {owner}'
            faults.append(errors.Fault(source, where, workspace.token_sha256, allowed))
    return faults


def _list_references(entry: Entry) -> list[tuple[str, tuple[str, ...], str]]:
    """Return the references of an entry: field, allowed kinds, name."""
    if isinstance(entry, Model):
        return [('version', ('version',), entry.version)]
    if isinstance(entry, Adapter):
        return [
            ('version', ('version',), entry.version),
            ('base', ('model',), entry.base),
        ]
    if isinstance(entry, Workspace):
        kinds = ('model', 'adapter', 'service')
        usable = [('may_use', kinds, name) for name in entry.may_use]
        return [('work', ('work',), entry.work), *usable]
    return []
