"""Keeps the view up to date and knows how old it is."""

from collections.abc import Callable

from chivedoor import ids
from chivedoor.edge import const
from chivedoor.edge import figures as figure_tables
from chivedoor.edge import lines
from chivedoor.feed import records
from chivedoor.feed import table
from chivedoor.platform import items
from chivedoor.steering import const as steering_const
from chivedoor.steering import steerer as steerers
from chivedoor.steering import view as views


class Knowledge:
    """Decodes batches of records into changes of the view.

    Attributes:
        table: The records in their newest form.
        confirmed_at: Time at which the view was known to be current last,
            None before the first complete batch.
    """

    def __init__(
        self,
        *,
        steerer: steerers.Steerer,
        log: lines.Lines,
        figures: figure_tables.Figures,
        clock: Callable[[], float],
        reset_flows: Callable[[ids.EndpointId], None],
    ) -> None:
        """Creates knowledge without a view.

        Args:
            steerer: Decides with the view.
            log: Takes one line for each change.
            figures: Counts changes.
            clock: Returns seconds.
            reset_flows: Called with an endpoint that is known to be gone.
        """
        self.table = table.RecordTable()
        self.confirmed_at: float | None = None
        self._steerer = steerer
        self._log = log
        self._figures = figures
        self._clock = clock
        self._reset_flows = reset_flows
        self._complete_from: float | None = None

    @property
    def has_view(self) -> bool:
        """Whether there is a configuration to steer by."""
        return bool(self._steerer.view.version)

    def get_age_s(self) -> float | None:
        """Returns the age of the view in seconds, None without a view."""
        if self.confirmed_at is None:
            return None
        return round(self._clock() - self.confirmed_at, 3)

    def take_batch(self, batch: records.Batch, confirmed_at: float) -> None:
        """Applies a batch that was current at a time."""
        now = self._clock()
        for record in self.table.merge(batch):
            self._take_record(record, now)
        self.confirm(confirmed_at)

    def confirm(self, confirmed_at: float) -> None:
        """Notes that the view was current at a time."""
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
        self.check_age()

    def check_age(self) -> None:
        """Notes when the view becomes stale or current; called often."""
        if self.confirmed_at is None:
            return
        now = self._clock()
        current = now - self.confirmed_at < const.VIEW_CURRENT_S
        if current and self._complete_from is None:
            self._complete_from = now + steering_const.LAPSED_ENTRY_RETURN_S
            self._log.write(
                lines.Kind.VIEW_CURRENT, revision=self.table.revision
            )
        elif not current and self._complete_from is not None:
            self._complete_from = None
            self._log.write(
                lines.Kind.VIEW_STALE,
                revision=self.table.revision,
                age_s=self.get_age_s(),
            )
        self._steerer.set_view_complete_at(self._complete_from)

    def _take_record(self, record: records.Record, now: float) -> None:
        try:
            change = items.decode_record(record, now)
        except items.UnusableValueError as error:
            self._figures.count(figure_tables.Counter.UNUSABLE_RECORDS)
            self._log.write(
                lines.Kind.RECORD_UNUSABLE, key=record.key, fault=str(error)
            )
            endpoint_id = items.get_endpoint_id(record.key)
            if endpoint_id is None:
                return
            change = views.RemovedEndpoint(endpoint_id=endpoint_id)
        if change is not None and self._steerer.view.apply(change, now):
            self._figures.count(
                figure_tables.Counter.CHANGES, type(change).__name__
            )
            self._report(change, record.revision)

    def _report(self, change: views.Change, revision: ids.Revision) -> None:
        match change:
            case views.ListedEndpoint(endpoint=endpoint):
                self._log.write(
                    lines.Kind.ENDPOINT_LISTED,
                    revision=revision,
                    endpoint=endpoint.id,
                    service=endpoint.service,
                    endpoint_domain=endpoint.domain,
                    address="{}:{}".format(*endpoint.address),
                    draining=endpoint.draining,
                    incarnation=endpoint.incarnation,
                )
            case views.RemovedEndpoint(endpoint_id=endpoint_id):
                self._log.write(
                    lines.Kind.ENDPOINT_REMOVED,
                    revision=revision,
                    endpoint=endpoint_id,
                )
                if self._steerer.is_view_complete(self._clock()):
                    self._reset_flows(endpoint_id)
            case views.Configuration():
                self._log.write(
                    lines.Kind.CONFIGURATION,
                    revision=revision,
                    version=change.version,
                    routes=len(change.routes),
                    services=len(change.services),
                )
            case views.DomainState():
                kind = (
                    lines.Kind.DOMAIN_OUT
                    if change.out
                    else lines.Kind.DOMAIN_IN
                )
                self._log.write(
                    kind, revision=revision, changed_domain=change.domain
                )
