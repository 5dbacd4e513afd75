"""What callers on other threads read: replaced piece by piece, never changed."""

from collections.abc import Iterable

from damaskbay.core.membership.swim import Swim
from damaskbay.core.membership.table import Record
from damaskbay.ports.fleet import MemberView, ServerState, ServerView


class Views:
    """
    Servers by pool and by instance, and the live members.

    One thread calls `refresh`; others read the values, each of which is
    immutable and replaced as a whole.
    """

    def __init__(self) -> None:
        self.by_instance: dict[str, ServerView] = {}
        self.servers_by_pool: dict[str, tuple[ServerView, ...]] = {}
        self.members: tuple[MemberView, ...] = ()
        self._members_by_instance: dict[str, MemberView] = {}
        self._instances_by_pool: dict[str, set[str]] = {}

    def refresh(self, swim: Swim) -> None:
        """Take over what changed since the last call."""
        changed = swim.table.take_changed()
        if not changed:
            return
        pools = set()
        for instance in changed:
            pools |= self._place(instance, swim)
        for pool in pools:
            self.servers_by_pool[pool] = self._servers(pool, swim)
        self._refresh_members(changed, swim)

    def _place(self, instance: str, swim: Swim) -> set[str]:
        """Put one server in its pool; return the pools that this touches."""
        touched = set()
        before = self.by_instance.pop(instance, None)
        if before is not None:
            self._instances_by_pool[before.pool].discard(instance)
            touched.add(before.pool)
        record = swim.table.by_instance.get(instance)
        if record is None:
            return touched
        view = view_of(record, local=instance == swim.own.instance)
        self.by_instance[instance] = view
        self._instances_by_pool.setdefault(view.pool, set()).add(instance)
        touched.add(view.pool)
        return touched

    def _servers(self, pool: str, swim: Swim) -> tuple[ServerView, ...]:
        """Return the ready servers; those to be avoided only where all are."""
        names = sorted(self._instances_by_pool[pool])
        ready = [
            self.by_instance[name]
            for name in names
            if self.by_instance[name].state is ServerState.READY
        ]
        trusted = tuple(view for view in ready if not swim.avoided(view.instance))
        return trusted or tuple(ready)

    def _refresh_members(self, changed: Iterable[str], swim: Swim) -> None:
        before = dict(self._members_by_instance)
        for instance in changed:
            self._members_by_instance.pop(instance, None)
            record = swim.table.by_instance.get(instance)
            if record is not None and record.entry.live:
                self._members_by_instance[instance] = _member_of(record)
        if before != self._members_by_instance:
            names = sorted(self._members_by_instance)
            self.members = tuple(self._members_by_instance[name] for name in names)


def view_of(record: Record, *, local: bool) -> ServerView:
    """Return a record as callers see it; a dead daemon's server is gone."""
    entry = record.entry
    return ServerView(
        entry.instance,
        entry.incarnation,
        entry.failure_domain,
        entry.address,
        entry.pool,
        entry.state if entry.live else ServerState.GONE,
        entry.slots,
        record.ready_at,
        entry.load,
        local,
    )


def _member_of(record: Record) -> MemberView:
    entry = record.entry
    return MemberView(
        entry.instance, entry.incarnation, entry.failure_domain, entry.address
    )
