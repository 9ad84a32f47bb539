"""Log events for changes of a balancer's state and of its view."""

from chivedoor import ids
from chivedoor.admission import health
from chivedoor.balancer import balancer as balancers
from chivedoor.daemon import traffic
from chivedoor.flows import owner as owners
from chivedoor.membership import members as members_module
from chivedoor.registers import registers as registers_module
from chivedoor.telemetry import events
from chivedoor.telemetry import logs as logs_module

_DOCUMENT_ORIGIN = "document"
_UNKNOWN = "unknown"


class ChangeLogger:
    """Logs how the state differs from the state at the previous call."""

    def __init__(
        self,
        *,
        balancer: balancers.Balancer,
        members: members_module.Members,
        registers: registers_module.DomainRegisters,
        logs: logs_module.Logs,
        clock: traffic.Clock,
    ) -> None:
        self._context = balancer.context
        self._registers = registers
        self._logs = logs
        self._clock = clock
        self._out_domains: frozenset[ids.DomainId] = frozenset()
        self._owned: frozenset[ids.EndpointNumber] = frozenset()
        self._cold: frozenset[ids.EndpointNumber] = frozenset()
        self._health_states: dict[ids.EndpointNumber, health.HealthState] = {}
        self._unsubscribe = members.subscribe(self._log_member_change)

    def unload(self) -> None:
        """Unsubscribes from member changes."""
        self._unsubscribe()

    def log_changes(self) -> None:
        """Logs the changes since the previous call."""
        owned = {
            number: target
            for number, target in self._context.targets.items()
            if target.role is owners.Role.OWNER
        }
        self._log_domain_changes()
        self._log_ownership_changes(owned)
        self._log_health_changes(owned)
        self._log_cold_targets(owned)

    def _log_member_change(
        self,
        previous: members_module.Member | None,
        current: members_module.Member | None,
    ) -> None:
        member = current if current is not None else previous
        before = _UNKNOWN if previous is None else previous.state.name
        after = _UNKNOWN if current is None else current.state.name
        if member is None or before == after:
            return
        if member.id == self._context.local_id:
            self._logs.write_event(
                events.StateChanged(before=before, after=after)
            )
            return
        self._logs.write_event(
            events.MemberChanged(
                member=member.id,
                member_domain=member.domain,
                before=before,
                after=after,
            )
        )

    def _log_domain_changes(self) -> None:
        out = self._context.out_domains
        for domain in sorted(out ^ self._out_domains):
            register = self._registers.get(domain)
            origin = _DOCUMENT_ORIGIN if register is None else register.origin
            self._logs.write_event(
                events.DomainChanged(
                    changed_domain=domain, out=domain in out, origin=origin
                )
            )
        self._out_domains = out

    def _log_ownership_changes(
        self, owned: dict[ids.EndpointNumber, owners.TargetState]
    ) -> None:
        for number in sorted(owned.keys() - self._owned):
            records = len(owned[number].flows)
            self._logs.write_event(
                events.TargetOwned(endpoint=number, records=records)
            )
        for number in sorted(self._owned - owned.keys()):
            self._logs.write_event(
                events.TargetReleased(
                    endpoint=number, member=self._find_owner(number)
                )
            )
        self._owned = frozenset(owned)

    def _find_owner(self, number: ids.EndpointNumber) -> str:
        found = self._context.directory.endpoints_by_number.get(number)
        owner = None if found is None else self._context.find_owner(found[1])
        return _UNKNOWN if owner is None else owner

    def _log_health_changes(
        self, owned: dict[ids.EndpointNumber, owners.TargetState]
    ) -> None:
        health_states = {
            number: target.admission.health_state
            for number, target in owned.items()
        }
        for number, after in health_states.items():
            before = self._health_states.get(number, health.HealthState.GOOD)
            if before is not after:
                self._logs.write_event(
                    events.TargetHealthChanged(
                        endpoint=number, before=before.value, after=after.value
                    )
                )
        self._health_states = health_states

    def _log_cold_targets(
        self, owned: dict[ids.EndpointNumber, owners.TargetState]
    ) -> None:
        now = self._clock()
        cold = frozenset(
            number
            for number, target in owned.items()
            if target.admission.is_cold(now)
        )
        for number in sorted(cold - self._cold):
            self._logs.write_event(
                events.TargetCold(endpoint=number, reason="ramp-started")
            )
        self._cold = cold
