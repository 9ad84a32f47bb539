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
        table: The latest version of each record.
        confirmed_at: Latest time at which the view was confirmed as current;
            None before the first batch.
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
        self.table = table.RecordTable()
        self.confirmed_at: float | None = None
        self._steerer = steerer
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._reset_flows = reset_flows
        self._view_complete_at: float | None = None

    @property
    def has_view(self) -> bool:
        """Whether a configuration was applied."""
        return bool(self._steerer.view.version)

    def get_age_s(self) -> float | None:
        """Returns the time since the last confirmation in seconds, or None."""
        if self.confirmed_at is None:
            return None
        return round(self._clock() - self.confirmed_at, 3)

    def apply_batch(self, batch: records.Batch, confirmed_at: float) -> None:
        """Applies a batch that was current at `confirmed_at`.

        A batch of a former era is ignored.
        """
        if batch.revision.era < self.table.revision.era:
            return
        now = self._clock()
        restored = (
            self.confirmed_at is not None
            and batch.revision.era > self.table.revision.era
        )
        if restored:
            self._record_restoration(batch.revision, now)
        for record in self.table.merge(batch):
            self._apply_record(record, now, restored=restored)
        self.confirm(confirmed_at)

    def confirm(self, confirmed_at: float) -> None:
        """Records that the view was current at `confirmed_at`."""
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self._steerer.confirm_view(confirmed_at)
        self.update_freshness()

    def update_freshness(self) -> None:
        """Marks the view as current or stale by its age; logs each change.

        Called on every tick and confirmation. The view counts as complete
        some time after it became current, since entries that lapsed during a
        store outage return only after the outage. Flows of endpoints that
        have ended are reset, and changes that a restored store reported are
        applied when they are due.
        """
        if self.confirmed_at is None:
            return
        now = self._clock()
        for change in self._steerer.restorations.pop_due(self.confirmed_at):
            self._apply_change(change, self.table.revision, now)
        current = now - self.confirmed_at < const.VIEW_MAX_AGE_S
        if current and self._view_complete_at is None:
            self._view_complete_at = now + steering_const.LAPSED_ENTRY_RETURN_S
            self._log.write(
                log_writer.EventType.VIEW_CURRENT,
                **_describe_revision(self.table.revision),
            )
        elif not current and self._view_complete_at is not None:
            self._view_complete_at = None
            self._log.write(
                log_writer.EventType.VIEW_STALE,
                **_describe_revision(self.table.revision),
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
            former_era=self.table.revision.era,
            former_revision=self.table.revision.number,
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
