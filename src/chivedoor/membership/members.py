"""The members of the fleet as known to this balancer."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

from chivedoor import ids
from chivedoor.membership import const
from chivedoor.membership import exceptions


class MemberState(enum.IntEnum):
    """State of a member.

    If two updates have the same incarnation and sequence, the one with the
    greater state takes precedence.
    """

    JOINING = 0
    ACTIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


_ANNOUNCED_STATES = frozenset(
    (MemberState.JOINING, MemberState.ACTIVE, MemberState.LEAVING)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Record of one incarnation of a balancer.

    Attributes:
        id: Identifier of the VM, which it keeps after a restart.
        domain: Failure domain of the VM.
        region: Region of the VM.
        address: IPv4 or IPv6 address as text.
        peer_port: UDP port for packets between balancers.
        gossip_port: UDP port for gossip.
        channel_port: TCP port for channels.
        incarnation: Increases on every restart and rejoin of the member.
        state: State as known to this balancer.
        sequence: Increases within an incarnation whenever the member changes
            its own state or refutes a suspicion.
        former_state: Last state that the member itself announced; set only
            for `SUSPECT` and `DEAD`.
    """

    id: ids.VmId
    domain: ids.DomainId
    region: ids.RegionId
    address: str
    peer_port: int
    gossip_port: int
    channel_port: int
    incarnation: ids.Incarnation
    state: MemberState
    sequence: int = 0
    former_state: MemberState | None = None

    @property
    def role(self) -> MemberState:
        """Last state that the member itself announced."""
        if self.state in _ANNOUNCED_STATES or self.former_state is None:
            return self.state
        return self.former_state

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of updates about a member; the greatest takes precedence."""
        return (self.incarnation, self.sequence, self.state)

    @property
    def is_alive(self) -> bool:
        """Whether the member has not been declared dead."""
        return self.state is not MemberState.DEAD


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedVm:
    """An entry VM in the VM list of the platform."""

    id: ids.VmId
    domain: ids.DomainId
    leaving: bool = False


ChangeCallback = Callable[[Member | None, Member | None], None]


def compute_incarnation(wall_clock_s: float) -> ids.Incarnation:
    """Returns the incarnation of a process that starts or rejoins now.

    VMs have no persistent storage, so incarnations are derived from the wall
    clock to increase across restarts. If the clock was set back, the member
    learns its previous incarnation from its peers and chooses a higher one.

    Args:
        wall_clock_s: Unix time in seconds.
    """
    return ids.Incarnation(int(wall_clock_s * 1000))


class Members:
    """Table of all members, including the local one.

    Updates about a member are ordered by incarnation, then sequence, then
    state. Balancers that received the same updates agree, regardless of the
    order in which they arrived.
    """

    def __init__(
        self,
        *,
        local: Member,
        capacity: int = const.MAX_MEMBERS,
        dead_retention_s: float = const.DEAD_RETENTION_S,
    ):
        self._local_id = local.id
        self._capacity = capacity
        self._dead_retention_s = dead_retention_s
        self._members = {local.id: local}
        self._dead_since: dict[ids.VmId, float] = {}
        self._listed: dict[ids.VmId, ListedVm] | None = None
        self._callbacks: list[ChangeCallback] = []
        self._cache: dict[tuple[str, ids.DomainId], Any] = {}
        self._revision = 0

    @property
    def local(self) -> Member:
        """The member record of this process."""
        return self._members[self._local_id]

    @property
    def revision(self) -> int:
        """Increases on changes of candidates, counts or incarnations."""
        return self._revision

    def __len__(self) -> int:
        return len(self._members)

    def get(self, member_id: ids.VmId) -> Member | None:
        """Returns the member, or None if it is unknown."""
        return self._members.get(member_id)

    def list_members(self) -> tuple[Member, ...]:
        """Returns all members, including dead ones that are still stored."""
        return tuple(self._members.values())

    def live_members(
        self, domain: ids.DomainId | None = None
    ) -> tuple[Member, ...]:
        """Returns the members that are not declared dead.

        Args:
            domain: Failure domain of the members; None for all domains.
        """
        return tuple(
            member
            for member in self._members.values()
            if member.is_alive and domain in (None, member.domain)
        )

    def count_live(self) -> int:
        """Returns the number of members not declared dead."""
        return len(self._members) - len(self._dead_since)

    def list_dead(self) -> tuple[Member, ...]:
        """Returns the dead members that did not announce their leaving."""
        dead = (self._members[member_id] for member_id in self._dead_since)
        return tuple(
            member for member in dead if member.role is not MemberState.LEAVING
        )

    def owner_candidates(self, domain: ids.DomainId) -> tuple[ids.VmId, ...]:
        """Returns the sorted ids of members that may own the domain's targets.

        These are the active members that the platform does not list as
        leaving.
        """
        return self._get_cached("owner", domain, self._find_owners)

    def replica_candidates(self, domain: ids.DomainId) -> tuple[ids.VmId, ...]:
        """Returns the sorted ids of members that may hold replicas.

        These are the owner candidates and the joining members.
        """
        return self._get_cached("replica", domain, self._find_replicas)

    def count_visible(self, domain: ids.DomainId) -> int:
        """Returns the number of live members of the domain on the VM list.

        Members that are not on the platform's VM list do not count, because
        otherwise both sides of a partition could have a majority.
        """
        return self._get_cached("visible", domain, self._count_visible)

    def count_listed(self, domain: ids.DomainId) -> int:
        """Returns the number of entry VMs of the domain on the VM list.

        Without a VM list, all stored members count except dead ones that
        announced their leaving.
        """
        return self._get_cached("listed", domain, self._count_listed)

    def set_vm_list(self, vms: Iterable[ListedVm]) -> None:
        """Replaces the platform's list of entry VMs."""
        listed = {vm.id: vm for vm in vms}
        if listed != self._listed:
            self._listed = listed
            self._invalidate()

    def subscribe(self, callback: ChangeCallback) -> Callable[[], None]:
        """Registers a callback for changes of members.

        It is called with the previous and the current record of a member,
        which are None for added and removed members respectively.

        Returns:
            A function that ends the subscription.
        """
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    def merge(self, update: Member, now: float) -> bool:
        """Applies an update received from a peer.

        An update about the local member that takes precedence over its own
        record is refuted instead of accepted.

        Returns:
            Whether any record changed.

        Raises:
            MembersFullError: The member is new and the table is full.
        """
        if update.id == self._local_id:
            return self._refute(update)
        known = self._members.get(update.id)
        if known is None:
            return self._add(update, now)
        if update.precedence <= known.precedence:
            return False
        self._replace(update, now)
        return True

    def suspect(self, member_id: ids.VmId, now: float) -> bool:
        """Marks a member as suspect; it keeps its role.

        Returns:
            Whether the state changed. Dead and suspect members do not change.

        Raises:
            UnknownMemberError: The member is not known.
        """
        return self._downgrade(member_id, MemberState.SUSPECT, now)

    def confirm_dead(self, member_id: ids.VmId, now: float) -> bool:
        """Declares a member dead.

        Returns:
            Whether the state changed.

        Raises:
            UnknownMemberError: The member is not known.
        """
        return self._downgrade(member_id, MemberState.DEAD, now)

    def activate(self, now: float) -> None:
        """Makes the local member active."""
        self._announce(MemberState.ACTIVE, now)

    def leave(self, now: float) -> None:
        """Announces that the local member is being stopped."""
        self._announce(MemberState.LEAVING, now)

    def rejoin(self, incarnation: ids.Incarnation, now: float) -> None:
        """Starts a new incarnation of the local member as `JOINING`.

        Args:
            incarnation: Lower bound of the new incarnation.
            now: Monotonic time in seconds.
        """
        self._replace(
            dataclasses.replace(
                self.local,
                incarnation=max(incarnation, self.local.incarnation + 1),
                sequence=0,
                state=MemberState.JOINING,
            ),
            now,
        )

    def prune_dead(self, now: float) -> None:
        """Removes members that have been dead for `dead_retention_s`.

        Without the platform's VM list, dead members that did not announce
        their leaving are kept, because `count_listed` needs them to determine
        the number of members of the domain.
        """
        for member_id, since in tuple(self._dead_since.items()):
            has_left = self._members[member_id].role is MemberState.LEAVING
            if self._listed is None and not has_left:
                continue
            if now - since >= self._dead_retention_s:
                self._remove(member_id)

    def dump_state(self) -> dict[str, Any]:
        """Returns the members as plain values for the `dump` command."""
        return {
            "local": self._local_id,
            "revision": self._revision,
            "listed": sorted(self._listed or ()),
            "members": {
                member.id: {
                    "domain": member.domain,
                    "address": member.address,
                    "state": member.state.name,
                    "role": member.role.name,
                    "incarnation": member.incarnation,
                    "sequence": member.sequence,
                }
                for member in self._members.values()
            },
        }

    def _get_cached(
        self,
        query: str,
        domain: ids.DomainId,
        compute: Callable[[ids.DomainId], Any],
    ) -> Any:
        key = (query, domain)
        if key not in self._cache:
            self._cache[key] = compute(domain)
        return self._cache[key]

    def _find_owners(self, domain: ids.DomainId) -> tuple[ids.VmId, ...]:
        return self._find_by_role(domain, (MemberState.ACTIVE,))

    def _find_replicas(self, domain: ids.DomainId) -> tuple[ids.VmId, ...]:
        roles = (MemberState.ACTIVE, MemberState.JOINING)
        return self._find_by_role(domain, roles)

    def _find_by_role(
        self, domain: ids.DomainId, roles: tuple[MemberState, ...]
    ) -> tuple[ids.VmId, ...]:
        return tuple(
            sorted(
                member.id
                for member in self.live_members(domain)
                if member.role in roles and not self._is_listed_leaving(member)
            )
        )

    def _is_listed_leaving(self, member: Member) -> bool:
        listed = (self._listed or {}).get(member.id)
        return listed is not None and listed.leaving

    def _count_visible(self, domain: ids.DomainId) -> int:
        return sum(
            self._listed is None or member.id in self._listed
            for member in self.live_members(domain)
        )

    def _count_listed(self, domain: ids.DomainId) -> int:
        if self._listed is not None:
            return sum(vm.domain == domain for vm in self._listed.values())
        return sum(
            member.domain == domain
            and (member.is_alive or member.role is not MemberState.LEAVING)
            for member in self._members.values()
        )

    def _add(self, update: Member, now: float) -> bool:
        if not update.is_alive:
            return False
        if len(self._members) >= self._capacity:
            self._evict_dead_member()
        self._replace(update, now)
        return True

    def _evict_dead_member(self) -> None:
        if not self._dead_since:
            raise exceptions.MembersFullError(
                f"the member table is full with {self._capacity} live members"
            )
        self._remove(min(self._dead_since, key=self._dead_since.__getitem__))

    def _refute(self, update: Member) -> bool:
        local = self.local
        if update.precedence <= local.precedence:
            return False
        if update.incarnation > local.incarnation:
            refuted = dataclasses.replace(
                local,
                incarnation=ids.Incarnation(update.incarnation + 1),
                sequence=0,
            )
        else:
            refuted = dataclasses.replace(local, sequence=update.sequence + 1)
        self._replace(refuted, 0.0)
        return True

    def _announce(self, state: MemberState, now: float) -> None:
        local = self.local
        if local.state is state:
            return
        self._replace(
            dataclasses.replace(
                local, state=state, sequence=local.sequence + 1
            ),
            now,
        )

    def _downgrade(
        self, member_id: ids.VmId, state: MemberState, now: float
    ) -> bool:
        member = self._members.get(member_id)
        if member is None:
            raise exceptions.UnknownMemberError(member_id)
        if member.state >= state or member_id == self._local_id:
            return False
        self._replace(
            dataclasses.replace(member, state=state, former_state=member.role),
            now,
        )
        return True

    def _replace(self, member: Member, now: float) -> None:
        previous = self._members.get(member.id)
        self._members[member.id] = member
        if member.is_alive:
            self._dead_since.pop(member.id, None)
        else:
            self._dead_since.setdefault(member.id, now)
        if previous is None or _get_cache_inputs(previous) != _get_cache_inputs(
            member
        ):
            self._invalidate()
        self._notify(previous, member)

    def _remove(self, member_id: ids.VmId) -> None:
        previous = self._members.pop(member_id)
        del self._dead_since[member_id]
        self._invalidate()
        self._notify(previous, None)

    def _invalidate(self) -> None:
        self._cache.clear()
        self._revision += 1

    def _notify(self, previous: Member | None, current: Member | None) -> None:
        for callback in tuple(self._callbacks):
            callback(previous, current)


def _get_cache_inputs(member: Member) -> tuple[Any, ...]:
    """Returns the fields of a record that the cached values depend on."""
    return (member.domain, member.is_alive, member.role, member.incarnation)
