"""Applies store records to the view and tracks its age."""

from collections.abc import Callable

from chivedoor import ids
from chivedoor.edge import const
from chivedoor.edge import log_writer
from chivedoor.edge import metrics as metrics_module
from chivedoor.feed import records
from chivedoor.feed import table
from chivedoor.platform import items
from chivedoor.steering import const as steering_const
from chivedoor.steering import steerer as steerers
from chivedoor.steering import view as views


class ViewUpdater:
    """Decodes batches of records and applies them to the view.

    Attributes:
        tables: The latest version of each record, by feed.
    """

    def __init__(
        self,
        *,
        steerer: steerers.Steerer,
        log: log_writer.LogWriter,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        reset_flows: Callable[[ids.EndpointId], None],
    ) -> None:
        """Creates an updater without a view.

        Args:
            steerer: The steerer, which holds the view.
            log: Writes a line for each change.
            metrics: Counts changes and unusable records.
            clock: Returns the time in seconds.
            reset_flows: Called with each endpoint that is known to have ended.
        """
        self.tables = {feed: table.RecordTable() for feed in records.Feed}
        # Latest time at which each feed was confirmed as current.
        self._confirmed_at: dict[records.Feed, float] = {}
        self._steerer = steerer
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._reset_flows = reset_flows
        self._view_complete_at: float | None = None
        # Latest era of the source that any feed named.
        self._era = ids.Era(0)

    @property
    def has_view(self) -> bool:
        """Whether all feeds were read and a configuration was applied."""
        return bool(self._steerer.view.version) and (
            self.confirmed_at is not None
        )

    @property
    def confirmed_at(self) -> float | None:
        """The time at which the whole view was last confirmed as current.

        None before each feed was read.
        """
        if len(self._confirmed_at) < len(self.tables):
            return None
        return min(self._confirmed_at.values())

    @property
    def revision(self) -> records.Revision:
        """The revision that all feeds have reached."""
        return min(
            records_table.revision for records_table in self.tables.values()
        )

    def get_age_s(self, feed: records.Feed | None = None) -> float | None:
        """Returns the time since the last confirmation in seconds, or None.

        Args:
            feed: A feed; None for the whole view.
        """
        confirmed_at = (
            self.confirmed_at if feed is None else self._confirmed_at.get(feed)
        )
        if confirmed_at is None:
            return None
        return round(self._clock() - confirmed_at, 3)

    def apply_batch(
        self, feed: records.Feed, batch: records.Batch, confirmed_at: float
    ) -> None:
        """Applies a batch of a feed that was current at `confirmed_at`.

        A batch of a former era is ignored.
        """
        records_table = self.tables[feed]
        if batch.revision.era < records_table.revision.era:
            return
        now = self._clock()
        restored = (
            feed in self._confirmed_at
            and batch.revision.era > records_table.revision.era
        )
        # The other feed may have shown the restoration before.
        if restored and batch.revision.era > self._era:
            self._record_restoration(batch.revision, now)
        self._era = max(self._era, batch.revision.era)
        for record in records_table.merge(batch):
            self._apply_record(record, now, restored=restored)
        self.confirm(feed, confirmed_at)

    def confirm(self, feed: records.Feed, confirmed_at: float) -> None:
        """Records that a feed was current at `confirmed_at`."""
        former = self.confirmed_at
        self._confirmed_at[feed] = max(
            confirmed_at, self._confirmed_at.get(feed, confirmed_at)
        )
        current = self.confirmed_at
        if current is not None and (former is None or current > former):
            self._steerer.confirm_view(current)
        self.update_freshness()

    def update_freshness(self) -> None:
        """Marks the view as current or stale by its age; logs each change.

        Called on every tick and confirmation. The view counts as complete
        some time after it became current, since entries that lapsed during a
        store outage return only after the outage. Flows of endpoints that
        have ended are reset, and changes that a restored store reported are
        applied when they are due.
        """
        confirmed_at = self.confirmed_at
        if confirmed_at is None:
            return
        now = self._clock()
        for change in self._steerer.restorations.pop_due(confirmed_at):
            self._apply_change(change, self.revision, now)
        current = now - confirmed_at < const.VIEW_MAX_AGE_S
        if current and self._view_complete_at is None:
            self._view_complete_at = now + steering_const.LAPSED_ENTRY_RETURN_S
            self._log.write(
                log_writer.EventType.VIEW_CURRENT,
                **_describe_revision(self.revision),
            )
        elif not current and self._view_complete_at is not None:
            self._view_complete_at = None
            self._log.write(
                log_writer.EventType.VIEW_STALE,
                **_describe_revision(self.revision),
                age_s=self.get_age_s(),
            )
        self._steerer.set_view_complete_at(self._view_complete_at)
        for endpoint in self._steerer.pop_ended_endpoints(now):
            self._reset_flows(endpoint.id)

    def _record_restoration(
        self, revision: records.Revision, now: float
    ) -> None:
        """Logs a restoration of the store.

        What is missing from the view then means nothing for some time.
        """
        self._metrics.count(metrics_module.Counter.RESTORATIONS)
        self._log.write(
            log_writer.EventType.SOURCE_RESTORED,
            **_describe_revision(revision),
            former_era=self.revision.era,
            former_revision=self.revision.number,
            version=self._steerer.view.version,
            view_age_s=self.get_age_s(),
        )
        self._view_complete_at = None
        self._steerer.set_view_complete_at(None)
        self._steerer.restorations.restart_delays(now)

    def _apply_record(
        self, record: records.Record, now: float, *, restored: bool
    ) -> None:
        try:
            change = items.decode_record(record, now)
        except items.UnusableValueError as error:
            self._metrics.count(metrics_module.Counter.UNUSABLE_RECORDS)
            self._log.write(
                log_writer.EventType.RECORD_UNUSABLE,
                key=record.key,
                fault=str(error),
            )
            endpoint_id = items.get_endpoint_id(record.key)
            if endpoint_id is None:
                return
            change = views.UnusableEndpoint(endpoint_id=endpoint_id)
        if change is None:
            return
        if self._steerer.restorations.admit(change, now, restored=restored):
            self._apply_change(change, record.revision, now)
        else:
            self._log.write(
                log_writer.EventType.RECORD_OUTDATED,
                key=record.key,
                **_describe_revision(record.revision),
            )

    def _apply_change(
        self, change: views.Change, revision: records.Revision, now: float
    ) -> None:
        if self._steerer.view.apply(change, now):
            self._metrics.count(
                metrics_module.Counter.CHANGES, type(change).__name__
            )
            self._log_change(change, revision)

    def _log_change(
        self, change: views.Change, revision: records.Revision
    ) -> None:
        fields = _describe_revision(revision)
        match change:
            case views.ListedEndpoint(endpoint=endpoint):
                self._log.write(
                    log_writer.EventType.ENDPOINT_LISTED,
                    **fields,
                    endpoint=endpoint.id,
                    service=endpoint.service,
                    endpoint_domain=endpoint.domain,
                    address="{}:{}".format(*endpoint.address),
                    draining=endpoint.draining,
                    incarnation=endpoint.incarnation,
                )
            case views.RemovedEndpoint(endpoint_id=endpoint_id):
                self._log.write(
                    log_writer.EventType.ENDPOINT_REMOVED,
                    **fields,
                    endpoint=endpoint_id,
                )
            case views.Configuration():
                self._log.write(
                    log_writer.EventType.CONFIGURATION,
                    **fields,
                    version=change.version,
                    routes=len(change.routes),
                    services=len(change.services),
                )
            case views.DomainState():
                event_type = (
                    log_writer.EventType.DOMAIN_OUT
                    if change.out
                    else log_writer.EventType.DOMAIN_IN
                )
                self._log.write(
                    event_type, **fields, changed_domain=change.domain
                )


def _describe_revision(revision: records.Revision) -> dict[str, int]:
    """Returns the fields of a revision in log lines."""
    return {"revision": revision.number, "era": revision.era}
