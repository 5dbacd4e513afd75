"""Immutable views of servers and members, read from other threads."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from damaskbay.core.membership.directory import RemoteServers
from damaskbay.core.membership.entry import MemberEntry
from damaskbay.core.membership.swim import Swim
from damaskbay.core.membership.table import Record
from damaskbay.ports.fleet import MemberView, ServerState, ServerView


class Views:
    """
    Servers by pool and by instance, and the live members.

    One thread calls `refresh`; other threads may read the values, each of which is
    immutable and replaced as a whole.
    """

    def __init__(self) -> None:
        self.by_instance: dict[str, ServerView] = {}
        self.servers_by_pool: dict[str, tuple[ServerView, ...]] = {}
        self.members: tuple[MemberView, ...] = ()
        self._precedence_by_instance: dict[str, tuple[int, int, int]] = {}
        self._members_by_instance: dict[str, MemberView] = {}
        self._instances_by_pool: dict[str, set[str]] = {}

    def refresh(self, swim: Swim) -> set[str]:
        """
        Update the views of all instances that changed since the last call.

        Returns the pools in which more than the load of a server changed.
        """
        changed = swim.table.take_changed()
        if not changed:
            return set()
        pools: set[str] = set()
        changed_pools: set[str] = set()
        for instance in changed:
            affected = self._update_server(instance, swim)
            pools |= affected
            if self._entry_changed(instance, swim):
                changed_pools |= affected
        for pool in pools:
            self.servers_by_pool[pool] = self._usable_servers(pool, swim)
        self._refresh_members(changed, swim)
        return changed_pools

    def entries(self, pool: str, swim: Swim) -> tuple[MemberEntry, ...]:
        """Return the entries of all servers of a pool, in any state."""
        instances = self._instances_by_pool.get(pool, set())
        return tuple(swim.table.by_instance[instance].entry for instance in instances)

    def _update_server(self, instance: str, swim: Swim) -> set[str]:
        """Update the view and pool of one server; return the affected pools."""
        affected = set()
        before = self.by_instance.pop(instance, None)
        if before is not None:
            self._instances_by_pool[before.pool].discard(instance)
            affected.add(before.pool)
        record = swim.table.by_instance.get(instance)
        if record is None:
            return affected
        view = view_of(record, local=instance == swim.own.instance)
        self.by_instance[instance] = view
        self._instances_by_pool.setdefault(view.pool, set()).add(instance)
        affected.add(view.pool)
        return affected

    def _entry_changed(self, instance: str, swim: Swim) -> bool:
        record = swim.table.by_instance.get(instance)
        precedence = None if record is None else record.entry.precedence
        before = self._precedence_by_instance.pop(instance, None)
        if precedence is not None:
            self._precedence_by_instance[instance] = precedence
        return precedence != before

    def _usable_servers(self, pool: str, swim: Swim) -> tuple[ServerView, ...]:
        """Return the ready servers; include avoided ones only if all are avoided."""
        instances = sorted(self._instances_by_pool[pool])
        ready = [
            self.by_instance[instance]
            for instance in instances
            if self.by_instance[instance].state is ServerState.READY
        ]
        preferred = tuple(view for view in ready if not swim.is_avoided(view.instance))
        return preferred or tuple(ready)

    def _refresh_members(self, changed: Iterable[str], swim: Swim) -> None:
        before = dict(self._members_by_instance)
        for instance in changed:
            self._members_by_instance.pop(instance, None)
            record = swim.table.by_instance.get(instance)
            if record is not None and record.entry.live:
                self._members_by_instance[instance] = _member_view(record)
        if before != self._members_by_instance:
            instances = sorted(self._members_by_instance)
            self.members = tuple(self._members_by_instance[key] for key in instances)


class RemoteViews:
    """Servers of other failure domains; same threading rules as `Views`."""

    def __init__(self) -> None:
        self.by_instance: dict[str, ServerView] = {}
        self.servers_by_pool: dict[str, tuple[ServerView, ...]] = {}
        self._avoided_until_by_instance: dict[str, float] = {}

    def avoid(self, instance: str, until: float) -> tuple[str, ...]:
        """Avoid a server until a time; return the affected pools."""
        view = self.by_instance.get(instance)
        if view is None:
            return ()
        self._avoided_until_by_instance[instance] = until
        return (view.pool,)

    def end_expired_avoidance(self, now: float) -> tuple[str, ...]:
        """End expired avoidance; return the pools of those servers."""
        ended = [
            instance
            for instance, until in self._avoided_until_by_instance.items()
            if now >= until
        ]
        for instance in ended:
            del self._avoided_until_by_instance[instance]
        views = (self.by_instance.get(instance) for instance in ended)
        return tuple(view.pool for view in views if view is not None)

    def refresh(self, pools: Iterable[str], remote: RemoteServers, now: float) -> None:
        """Update the views of the servers of some pools."""
        for pool in pools:
            before = {view.instance: view for view in self._views_in_pool(pool)}
            records = (Record(entry, now, now) for entry in remote.entries(pool))
            views = [
                _with_known_ready_at(before, view_of(record, local=False))
                for record in records
            ]
            for instance in before:
                self.by_instance.pop(instance, None)
            self.by_instance.update({view.instance: view for view in views})
            preferred = tuple(
                view
                for view in views
                if view.instance not in self._avoided_until_by_instance
            )
            self.servers_by_pool[pool] = preferred or tuple(views)

    def _views_in_pool(self, pool: str) -> list[ServerView]:
        return [view for view in self.by_instance.values() if view.pool == pool]


def _with_known_ready_at(
    before: Mapping[str, ServerView], view: ServerView
) -> ServerView:
    """Return the view with the earlier `ready_at` of the same process, if known."""
    known = before.get(view.instance)
    if known is None or known.incarnation != view.incarnation:
        return view
    return replace(view, ready_at=known.ready_at)


def view_of(record: Record, *, local: bool) -> ServerView:
    """Return the view of a record; the server of a dead daemon is gone."""
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


def _member_view(record: Record) -> MemberView:
    entry = record.entry
    return MemberView(
        entry.instance, entry.incarnation, entry.failure_domain, entry.address
    )
