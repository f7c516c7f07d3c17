"""The view: the published records as known to this process."""

import math
import types
import typing
from collections.abc import Callable, Mapping

import msgspec

from primrosesaddle.calls import routes
from primrosesaddle.core import positions
from primrosesaddle.fleet import items, keptrecords, outages, servers, unseentime
from primrosesaddle.staging import pieces, versionages
from primrosesaddle.telemetry import journal

__all__ = ('Changes', 'Item', 'Snapshot', 'View')

# Servers whose records expired while the store was unavailable are published again
# within this time after it is back. The platform states about two seconds.
EXPIRY_GRACE_S = 2.2
# Servers that a restored store lacks may have left since its return. They are dropped
# two seconds after that, which is noticed after one retry at the latest.
LACKING_SERVER_S = 1.7
# What a restored store has lost is published again within this time. After it the store
# holds: a server that it lists has not fallen silent, and an evacuation that it lacks
# may have been ended.
RESTORATION_S = 10.0
STORE = 'store'  # source name of records read from the store itself
# Number of removals kept for peers that request the changes after a revision.
MAX_REMOVALS = 512


Item = items.Item


class Snapshot(typing.NamedTuple):
    """All items at a revision of an era of the store; other fields as in `Changes`."""

    items: list[Item]
    revision: int
    era: int = 0
    unseen_s: float = 0.0
    expiring_s: Mapping[str, float] = types.MappingProxyType({})
    kept: tuple[keptrecords.KeptRecord, ...] = ()

    @property
    def position(self) -> positions.Position:
        """Return the position at which the items were read."""
        return positions.Position(self.era, self.revision)


class Changes(typing.NamedTuple):
    """The items that changed, up to a revision of an era of the store.

    `unseen_s` is the time before this read in which the source was not read.
    `expiring_s` maps keys of removed items to the seconds for which they are still
    kept, because they may be published again after an outage. `kept` are records that
    hold in place of items.
    """

    items: list[Item]
    revision: int
    unseen_s: float = 0.0
    expiring_s: Mapping[str, float] = types.MappingProxyType({})
    era: int = 0
    kept: tuple[keptrecords.KeptRecord, ...] = ()

    @property
    def position(self) -> positions.Position:
        """Return the position up to which changes are included."""
        return positions.Position(self.era, self.revision)


class _Origin(typing.NamedTuple):
    """Where items came from; see `Changes` for the fields."""

    source: str
    unseen_s: float
    expiring_s: Mapping[str, float]


Decode = Callable[[str, bytes], object | None]
Listener = Callable[[], None]


class View:
    """Published records by key; an older revision never replaces a newer one.

    Revisions are compared within one era of the store. A restored store may hold older
    states of items than are known, and lack some. What is known then stays in force
    until it is published again, for a limited time if the store lacks it.

    `configuration`, `servers` (by server id) and `evacuations` (by key) are the decoded
    records, `version_ages` the ages of announced versions. `store_contact` tells
    whether an outage of the store may have been missed. `kept_records` are those that
    hold in place of items. After the revision `history_from` of this era all removals
    are known. `listeners` are called after a change.
    """

    def __init__(
        self,
        decode: Decode,
        clock: Callable[[], float],
        assumed_age_s: float,
    ) -> None:
        """Create an empty view.

        `decode` returns the record of an item from its key and body, or None for items
        without a record. `assumed_age_s` is the largest age in seconds that is assumed
        for a version announced while this process did not read the store.
        """
        self._decode = decode
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._removed: dict[str, Item] = {}
        self._history = items.ItemHistory()
        self.kept_records = keptrecords.KeptRecords(clock)
        self._expiring_at: dict[str, float] = {}
        self._store_recovered_at = -EXPIRY_GRACE_S
        self._server_ids_by_key: dict[str, str] = {}
        self.history_from = 0
        self._has_read_store = False
        self._unseen = unseentime.UnseenTime(clock)
        self._configuration_body: bytes | None = None
        self.configuration: routes.Configuration | None = None
        self.servers: dict[str, servers.BackendServer] = {}
        self.evacuations: dict[str, servers.Evacuation] = {}
        self.version_ages = versionages.VersionAges(clock, assumed_age_s)
        self.store_contact = outages.StoreContact(clock)
        self.era = 0
        self.revision = 0
        self.listeners: list[Listener] = []

    def apply_snapshot(self, snapshot: Snapshot, source: str) -> None:
        """Apply a snapshot; remove known items that it lacks, unless they are newer.

        A snapshot of an earlier era is ignored. Those of a later one are the only way
        into that era, as changes do not tell what the restored store lacks.
        """
        if snapshot.era < self.era:
            return
        if snapshot.era > self.era:
            self._begin_era(snapshot, source)
        present = {item.key for item in snapshot.items}
        absent = [
            Item(key, None, snapshot.revision)
            for key, item in self._items.items()
            if key not in present and item.revision <= snapshot.revision
        ]
        if snapshot.revision > self.revision:
            # Items added and removed in between are not among the known removals.
            self.history_from = snapshot.revision
        changes = Changes(
            [*snapshot.items, *absent],
            snapshot.revision,
            snapshot.unseen_s,
            snapshot.expiring_s,
            snapshot.era,
            snapshot.kept,
        )
        self.apply_changes(changes, source)

    def apply_changes(self, changes: Changes, source: str) -> None:
        """Apply changes; `source` is `STORE` or the name of a peer.

        Changes from a peer up to a revision lower than the own one are ignored, because
        they may contain items that have been removed since, and changes of another era
        because their revisions cannot be compared.
        """
        if changes.era != self.era:
            return
        if source != STORE and changes.revision < self.revision:
            return
        is_watched = source == STORE and self._has_read_store
        origin = _Origin(
            source,
            self._unseen.estimate_s(changes.unseen_s) if is_watched else math.inf,
            self._accept_expiring(changes, source),
        )
        changed = False
        for item in changes.items:
            changed = self._apply_item(item, origin) or changed
        for kept in changes.kept:
            changed = self._adopt_kept(kept, origin) or changed
        self.revision = max(self.revision, changes.revision)
        self._has_read_store = self._has_read_store or source == STORE
        if changed:
            self._call_listeners()

    def record_store_recovery(self) -> None:
        """Record that the store answers again after an outage."""
        self._store_recovered_at = self._clock()

    @property
    def position(self) -> positions.Position:
        """Return the position up to which all changes are known."""
        return positions.Position(self.era, self.revision)

    def get_changes_since(self, revision: int) -> Changes:
        """Return the items and removals after a revision, for a peer."""
        newer = [
            item
            for known in (self._items, self._removed)
            for item in known.values()
            if item.revision > revision
        ]
        now = self._clock()
        lapsing_s = {
            key: expires_at - now for key, expires_at in self._expiring_at.items()
        }
        return Changes(newer, self.revision, expiring_s=lapsing_s, era=self.era)

    def drop_expired_servers(self) -> None:
        """Drop records that the store lost and that were not published again in time.

        Call it regularly: a gap between calls is taken for a pause of the process.
        """
        now = self._clock()
        self._unseen.observe()
        expired = [
            key for key, expires_at in self._expiring_at.items() if now >= expires_at
        ]
        for key in expired:
            self._expiring_at.pop(key)
            self._drop_server(key, 'not published again after the outage')
        no_longer_kept = self.kept_records.pop_expired()
        for key in no_longer_kept:
            self._adopt_listed(key)
        if expired or no_longer_kept:
            self._call_listeners()

    def _begin_era(self, snapshot: Snapshot, source: str) -> None:
        """Order all known items anew, by the revisions of a restored store.

        The newest known state of a record holds in place of an older one that is
        listed, and in place of none.
        """
        listed = {item.key: item for item in snapshot.items if item.body is not None}
        outdated = self._find_outdated(listed)
        kept = [
            keptrecords.KeptRecord(
                key, self._held_body(key), listed[key].revision, RESTORATION_S
            )
            for key in outdated
        ]
        kept += self._find_lacking(listed)
        if self.position != positions.START:
            journal.warning(
                'store.era',
                era=snapshot.era,
                before=self.era,
                revision=snapshot.revision,
                known=self.revision,
                outdated=sorted(outdated),
                source=source,
            )
        self.kept_records.clear()
        for record in kept:
            self.kept_records.add(record)
        for key in self._items.keys() - listed.keys():
            self._store_removal(Item(key, None, 0))
        for known in (self._items, self._removed):
            for key, item in known.items():
                known[key] = item._replace(revision=0)
        self.era, self.revision, self.history_from = snapshot.era, 0, 0

    def _find_outdated(self, listed: Mapping[str, Item]) -> set[str]:
        """Return the keys of listed items of which a newer state is known.

        Records that the store lacked before are none: they hold only until then.
        """
        for item in self._items.values():
            self._history.record(item)
        seen_before = self._history.find_known(listed.values())
        return {
            key
            for key, item in listed.items()
            if (key in seen_before or self._has_left_since(item))
            and key not in self._expiring_at
            and self._held_body(key) != item.body
        }

    def _find_lacking(self, listed: Mapping[str, Item]) -> list[keptrecords.KeptRecord]:
        """Return the known records that are not listed, for as long as each holds.

        Servers that expired before are none: they hold only until then.
        """
        held = {key: item.body for key, item in self._items.items()}
        held |= {kept.key: kept.body for kept in self.kept_records.list_remaining()}
        lacking = []
        for key, body in held.items():
            if key in listed or key in self._expiring_at or body is None:
                continue
            for_s = self._restoration_time_s(key, body)
            if for_s > 0:
                lacking.append(keptrecords.KeptRecord(key, body, 0, for_s))
        return lacking

    def _restoration_time_s(self, key: str, body: bytes) -> float:
        """Return for how long a record holds that a restored store lacks."""
        if key in self._server_ids_by_key:
            return LACKING_SERVER_S
        if key in self.evacuations:
            return RESTORATION_S
        try:
            record = self._decode(key, body)
        except (msgspec.MsgspecError, ValueError):
            return 0.0
        is_permanent = isinstance(record, routes.Configuration | servers.WantedVersion)
        return math.inf if is_permanent else 0.0

    def _has_left_since(self, item: Item) -> bool:
        """Tell whether an item that may not have been seen is of a server that left."""
        known = self.servers.get(self._server_ids_by_key.get(item.key, ''))
        if known is None or not known.leaving:
            return False
        try:
            listed = self._decode(item.key, item.body or b'')
        except (msgspec.MsgspecError, ValueError):
            return False
        return keptrecords.has_left_since(known, listed)

    def _held_body(self, key: str) -> bytes | None:
        """Return the body of the state in which a record holds, None if removed."""
        kept = self.kept_records.get(key)
        if kept is not None:
            return kept.body
        item = self._items.get(key)
        return None if item is None else item.body

    def _apply_item(self, item: Item, origin: _Origin) -> bool:
        """Apply an item, and tell whether a decoded record changed."""
        known = self._items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            self._history.record(item)
            return False
        if known is not None:
            self._history.record(known)
        is_replaced = self.kept_records.replaces(item)
        if not is_replaced:
            self.kept_records.discard(item.key)
        if item.body is None:
            self._store_removal(item)
            return not is_replaced and self._remove(item, origin)
        self._removed.pop(item.key, None)
        self._expiring_at.pop(item.key, None)
        self._items[item.key] = item
        return not is_replaced and self._decode_and_adopt(item, origin)

    def _adopt_kept(self, told: keptrecords.KeptRecord, origin: _Origin) -> bool:
        """Adopt a record that a peer holds in place of an item known here."""
        item = self._items.get(told.key) or self._removed.get(told.key)
        revision = 0 if item is None else item.revision
        if revision != told.revision:
            return False
        if told.key in self.kept_records:
            self.kept_records.shorten(told)
            return False
        self.kept_records.add(told)
        if told.body is None:
            return self._drop_record(told.key, f'left, reported by {origin.source}')
        return self._decode_and_adopt(Item(told.key, told.body, revision), origin)

    def _adopt_listed(self, key: str) -> None:
        """Adopt the state of an item that the store lists, or lacks."""
        item = self._items.get(key)
        if item is None:
            self._drop_record(key, 'not published again after the restoration')
        else:
            origin = _Origin(STORE, math.inf, types.MappingProxyType({}))
            self._decode_and_adopt(item, origin)

    def _decode_and_adopt(self, item: Item, origin: _Origin) -> bool:
        try:
            record = self._decode(item.key, item.body or b'')
        except (msgspec.MsgspecError, ValueError) as exc:
            journal.warning('item.unreadable', key=item.key, error=str(exc))
            return self._drop_server(item.key, 'unreadable record')
        return self._adopt(item, record, origin)

    def _adopt(self, item: Item, record: object, origin: _Origin) -> bool:
        if isinstance(record, routes.Configuration):
            return self._adopt_configuration(record, item, origin.source)
        if isinstance(record, servers.BackendServer):
            return self._adopt_server(record, item, origin.source)
        if isinstance(record, servers.Evacuation):
            self.evacuations[item.key] = record
            journal.info(
                'evacuation.requested',
                data_centre=record.data_centre,
                revision=item.revision,
                source=origin.source,
            )
            return True
        if isinstance(record, servers.WantedVersion):
            return self._adopt_version(record, item, origin)
        return False

    def _adopt_configuration(
        self, record: routes.Configuration, item: Item, source: str
    ) -> bool:
        known = self.configuration
        if known is not None and record.version < known.version:
            # Peers are told of the configuration in force, not of this one.
            self.kept_records.add(
                keptrecords.KeptRecord(
                    item.key, self._configuration_body, item.revision, math.inf
                )
            )
            journal.warning(
                'configuration.older',
                version=record.version,
                in_force=known.version,
                revision=item.revision,
            )
            return False
        # An operator who has lost a configuration may give its version to another one.
        if item.body == self._configuration_body:
            return False
        self.configuration = record
        self._configuration_body = item.body
        journal.info(
            'configuration.adopted',
            version=record.version,
            before=known.version if known else 0,
            revision=item.revision,
            size=len(item.body or b''),
            source=source,
        )
        return True

    def _adopt_server(
        self, record: servers.BackendServer, item: Item, source: str
    ) -> bool:
        known = self.servers.get(record.server_id)
        self._server_ids_by_key[item.key] = record.server_id
        self.servers[record.server_id] = record
        if record == known:
            # A cold time that counts down is no change, one that has begun again is.
            return record.cold_remaining_s > known.cold_remaining_s
        journal.info(
            'server.known',
            server=record.server_id,
            service=record.service,
            address=record.address,
            leaving=record.leaving,
            models={name: tuple(held) for name, held in record.models.items()},
            revision=item.revision,
            source=source,
        )
        return True

    def _adopt_version(
        self, record: servers.WantedVersion, item: Item, origin: _Origin
    ) -> bool:
        version = pieces.Version(record.model, record.version)
        if not self.version_ages.record_published(version, origin.unseen_s):
            return False
        journal.info(
            'version.named',
            model=record.model,
            version=record.version,
            revision=item.revision,
            source=origin.source,
            known=not origin.unseen_s,
        )
        return True

    def _store_removal(self, item: Item) -> None:
        self._items.pop(item.key, None)
        self._removed[item.key] = item
        while len(self._removed) > MAX_REMOVALS:
            oldest = self._removed.pop(next(iter(self._removed)))
            self._history.forget(oldest.key)
            self.history_from = max(self.history_from, oldest.revision)

    def _remove(self, item: Item, origin: _Origin) -> bool:
        grace_s = self._remaining_grace_s(item.key, origin)
        if grace_s > 0:
            self._expiring_at[item.key] = self._clock() + grace_s
            journal.info('server.lapsed', key=item.key, kept_s=round(grace_s, 2))
            return False
        return self._drop_record(item.key, f'removed, reported by {origin.source}')

    def _remaining_grace_s(self, key: str, origin: _Origin) -> float:
        """Return for how many seconds a removed server is kept, as it may come back."""
        if key not in self._server_ids_by_key:
            return 0.0
        since_recovery_s = self._clock() - self._store_recovered_at
        if since_recovery_s <= outages.REMOVAL_WINDOW_S:
            return EXPIRY_GRACE_S - since_recovery_s
        return origin.expiring_s.get(key, 0.0)

    def _accept_expiring(self, changes: Changes, source: str) -> Mapping[str, float]:
        """Return which removed items are kept, and for how many seconds.

        There are none if the peer alone was without the store: they have left.
        """
        if not changes.expiring_s or self.store_contact.may_have_missed_outage:
            return changes.expiring_s
        journal.info(
            'outage.not_shared',
            source=source,
            keys=sorted(changes.expiring_s),
            silent_s=round(self.store_contact.silent_s, 2),
        )
        return types.MappingProxyType({})

    def _drop_record(self, key: str, why: str) -> bool:
        """Remove the evacuation or server of a key; tell whether there was one."""
        if self.evacuations.pop(key, None) is not None:
            journal.info('evacuation.ended', key=key, why=why)
            return True
        return self._drop_server(key, why)

    def _drop_server(self, key: str, why: str) -> bool:
        """Remove the server published under a key; tell whether there was one."""
        server_id = self._server_ids_by_key.pop(key, None)
        if server_id is None or self.servers.pop(server_id, None) is None:
            return False
        journal.info('server.gone', server=server_id, why=why)
        return True

    def _call_listeners(self) -> None:
        for listener in self.listeners:
            try:
                listener()
            except Exception as exc:
                journal.error('listener.failed', error=repr(exc))
