"""Restrictions: what operators restrict, as an entry applies, logs and counts it."""

from collections.abc import Callable, Mapping, Sequence

from primrosesaddle.calls import placement
from primrosesaddle.fleet import fleetview
from primrosesaddle.restrictions import evacuations, homes
from primrosesaddle.telemetry import journal, metrics

__all__ = ('Restrictions',)


class Restrictions:
    """The homes and evacuations that bind an entry, by its view of all records."""

    def __init__(
        self,
        view: fleetview.View,
        get_regions: Callable[[], Mapping[str, str]],
        counts: metrics.Metrics,
    ) -> None:
        """Create them for a view. `get_regions` returns the regions by data centre."""
        self._view = view
        self._get_regions = get_regions
        self._counts = counts
        self._status = evacuations.Status()
        # Before all other listeners, so that the log tells the cause first.
        view.listeners.append(self._log_changes)
        counts.gauge('evacuated_data_centres', lambda: len(self._status.data_centres))
        counts.gauge('evacuated_servers', lambda: self._status.servers)

    def list_rules(self) -> tuple[placement.Constraint, ...]:
        """Return the rules that hold for the whole life of a call."""
        return (
            homes.make_rule(lambda: self._view.configuration, self._get_regions),
            evacuations.make_rule(self._view.evacuations),
        )

    def select_entries(
        self,
        known: Sequence[homes.EntryAddress],
        host: str,
        caller_region: str,
        caller_data_centre: str,
    ) -> list[homes.EntryAddress]:
        """Return the entries to which the callers of a host in a region are led.

        If none may be named, all are: a caller that comes to another entry is still
        served at home, and one without an address is not served at all.
        """
        conf = self._view.configuration
        if conf is None:
            return list(known)
        region = caller_region or self._get_regions().get(caller_data_centre, '')
        selected = homes.select_entries(known, conf.get_host_homes(host), region)
        if known and not selected:
            self._counts.count('directory_answers_beyond_homes')
            journal.info('directory.no_entry_at_home', host=host, region=region)
        return selected or list(known)

    def _log_changes(self) -> None:
        status = evacuations.describe_status(
            self._view.evacuations.values(),
            self._view.servers.values(),
            self._get_regions(),
        )
        before, self._status = self._status, status
        if status.data_centres == before.data_centres:
            return
        journal.info(
            'evacuation.in_force',
            data_centres=','.join(status.data_centres),
            servers=status.servers,
            slots_left=status.slots_left,
        )
        if status.unknown:
            journal.warning(
                'evacuation.unknown_data_centre', names=','.join(status.unknown)
            )
