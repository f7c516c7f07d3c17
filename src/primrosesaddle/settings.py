"""Settings of a process, read from an INI file and validated."""

import configparser
import pathlib
import typing

import msgspec

from primrosesaddle.core import conversion, errors

__all__ = ('Settings', 'read_settings')

MIB = 1024 * 1024
_Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
_Count = typing.Annotated[int, msgspec.Meta(ge=1)]
_Name = typing.Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]*$')]
_Address = typing.Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d+$')]
_Url = typing.Annotated[str, msgspec.Meta(pattern=r'^https?://')]


class Process(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The name and role of the process, and where it runs."""

    role: typing.Literal['entry', 'agent']
    name: _Name
    region: _Name
    data_centre: _Name
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses to listen on, as IP:PORT; only entries need `callers`."""

    peers: _Address
    admin: _Address
    callers: _Address | None = None


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services.

    `store_region` is the region of the weight store; `seeds` are addresses of peers
    as IP:PORT, separated by spaces.
    """

    catalogue: _Url
    instances: _Url
    store: _Url = 'http://127.0.0.1:1'
    origin: _Url = 'http://127.0.0.1:1'
    store_region: str = ''
    seeds: typing.Annotated[str, msgspec.Meta(pattern=r'^([0-9.]+:\d+( |$))*$')] = ''

    @property
    def seed_list(self) -> list[str]:
        """Return the addresses of peers to try first."""
        return self.seeds.split()


class Server(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The backend server beside an agent; `serves` names a catalogue entry."""

    kind: typing.Literal['engine', 'plain']
    serves: _Name
    url: _Url


class Keys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of key files; a CURVE file holds one line in Z85."""

    tls_certificate: str = ''
    tls_key: str = ''
    curve_public: str = ''
    curve_secret: str = ''


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on the calls of a process and on what it holds for them."""

    max_body_bytes: _Count = MIB
    max_in_flight: _Count = 2048
    body_timeout_s: _Positive = 10
    entries_ttl_s: _Positive = 5
    drain_s: _Positive = 60
    queue_length: _Count = 512
    concurrency: _Count = 16
    key_retention_s: _Positive = 900


class Transfer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rates of the links, and the memory for weights in bytes."""

    machine_bytes_per_s: _Positive = 125_000_000
    region_bytes_per_s: _Positive = 1_375_000
    store_bytes_per_s: _Positive = 125_000_000
    memory_bytes: _Count = 64 * MIB


class Traces(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The export of traces.

    `endpoint` is an OTLP/HTTP address, empty for no export; `share` is the share of
    traces that are sampled.
    """

    endpoint: str = ''
    share: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of a settings file."""

    process: Process
    listen: Listen
    platform: Platform
    server: Server | None = None
    keys: Keys = Keys()
    limits: Limits = Limits()
    transfer: Transfer = Transfer()
    traces: Traces = Traces()


_SECTIONS: typing.Final[dict[str, type[msgspec.Struct]]] = {
    'process': Process,
    'listen': Listen,
    'platform': Platform,
    'server': Server,
    'keys': Keys,
    'limits': Limits,
    'transfer': Transfer,
    'traces': Traces,
}
_REQUIRED = ('process', 'listen', 'platform')


def parse_settings(text: str, source: str) -> Settings:
    """Parse the text of a settings file; `source` names it in faults.

    Raises `FaultGroup` with all faults, each with its section and field.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        raise errors.FaultGroup(
            'settings refused',
            [errors.Fault(source, '(file)', str(exc), 'an INI file')],
        ) from None
    faults = _find_section_faults(parser, source)
    sections: dict[str, msgspec.Struct] = {}
    for name, model in _SECTIONS.items():
        if parser.has_section(name):
            section, section_faults = conversion.convert(
                model,
                dict(parser[name]),
                source,
                f'[{name}]',
                strict=False,
            )
            faults.extend(section_faults)
            if section is not None:
                sections[name] = section
    faults.extend(_find_role_faults(sections, parser, source))
    errors.raise_faults('settings refused', faults)
    return Settings(**sections)  # type: ignore[arg-type]


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises `FaultGroup` when it cannot be read or is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.FaultGroup(
            'settings refused',
            [errors.Fault(path, '(file)', str(exc), 'a readable UTF-8 file')],
        ) from None
    return parse_settings(text, path)


def _find_section_faults(
    parser: configparser.ConfigParser,
    source: str,
) -> list[errors.Fault]:
    """Return the faults of unknown sections and of required ones that are missing."""
    allowed = 'allowed sections: {0}'.format(', '.join(_SECTIONS))
    faults = [
        errors.Fault(source, f'[{name}]', name, allowed)
        for name in parser.sections()
        if name not in _SECTIONS
    ]
    faults.extend(
        errors.Fault(source, f'[{name}]', None, 'required section')
        for name in _REQUIRED
        if not parser.has_section(name)
    )
    return faults


def _find_role_faults(
    sections: dict[str, msgspec.Struct],
    parser: configparser.ConfigParser,
    source: str,
) -> list[errors.Fault]:
    """Return the faults of what a role requires, and of keys without their pair."""
    process = sections.get('process')
    listen = sections.get('listen')
    faults = []
    if isinstance(process, Process) and isinstance(listen, Listen):
        if process.role == 'entry' and listen.callers is None:
            faults.append(
                errors.Fault(source, '[listen].callers', None, 'required of an entry'),
            )
        if process.role == 'agent' and not parser.has_section('server'):
            faults.append(
                errors.Fault(source, '[server]', None, 'required of an agent'),
            )
    keys = sections.get('keys')
    if isinstance(keys, Keys):
        pairs = (('tls_certificate', 'tls_key'), ('curve_public', 'curve_secret'))
        for field, partner in pairs:
            if bool(getattr(keys, field)) != bool(getattr(keys, partner)):
                faults.append(
                    errors.Fault(
                        source,
                        f'[keys].{field}',
                        getattr(keys, field),
                        f'give both {field} and {partner}, or neither',
                    )
                )
    return faults
