"""What callers on other threads read: replaced piece by piece, never changed."""

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

    One thread calls `refresh`; others read the values, each of which is
    immutable and replaced as a whole.
    """

    def __init__(self) -> None:
        self.by_instance: dict[str, ServerView] = {}
        self.servers_by_pool: dict[str, tuple[ServerView, ...]] = {}
        self.members: tuple[MemberView, ...] = ()
        self._fact_by_instance: dict[str, tuple[int, int, int]] = {}
        self._members_by_instance: dict[str, MemberView] = {}
        self._instances_by_pool: dict[str, set[str]] = {}

    def refresh(self, swim: Swim) -> set[str]:
        """
        Take over what changed since the last call.

        Returns the pools where more changed than the load of a server.
        """
        changed = swim.table.take_changed()
        if not changed:
            return set()
        pools: set[str] = set()
        told: set[str] = set()
        for instance in changed:
            touched = self._place(instance, swim)
            pools |= touched
            if self._is_news(instance, swim):
                told |= touched
        for pool in pools:
            self.servers_by_pool[pool] = self._servers(pool, swim)
        self._refresh_members(changed, swim)
        return told

    def entries(self, pool: str, swim: Swim) -> tuple[MemberEntry, ...]:
        """Return the entries of all servers of a pool, whatever their state."""
        names = self._instances_by_pool.get(pool, set())
        return tuple(swim.table.by_instance[name].entry for name in names)

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

    def _is_news(self, instance: str, swim: Swim) -> bool:
        record = swim.table.by_instance.get(instance)
        fact = None if record is None else record.entry.fact
        before = self._fact_by_instance.pop(instance, None)
        if fact is not None:
            self._fact_by_instance[instance] = fact
        return fact != before

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


class RemoteViews:
    """Servers of other failure domains; read and written as `Views` is."""

    def __init__(self) -> None:
        self.by_instance: dict[str, ServerView] = {}
        self.servers_by_pool: dict[str, tuple[ServerView, ...]] = {}
        self._avoided_until_by_instance: dict[str, float] = {}

    def avoid(self, instance: str, until: float) -> tuple[str, ...]:
        """Leave a server out for a time; return the pools that this touches."""
        view = self.by_instance.get(instance)
        if view is None:
            return ()
        self._avoided_until_by_instance[instance] = until
        return (view.pool,)

    def due(self, now: float) -> tuple[str, ...]:
        """Return the pools with a server that need not be avoided any longer."""
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
        """Take over the servers of some pools."""
        for pool in pools:
            before = {view.instance: view for view in self._known(pool)}
            records = (Record(entry, now, now) for entry in remote.entries(pool))
            views = [_kept(before, view_of(record, local=False)) for record in records]
            for instance in before:
                self.by_instance.pop(instance, None)
            self.by_instance.update({view.instance: view for view in views})
            trusted = tuple(
                view
                for view in views
                if view.instance not in self._avoided_until_by_instance
            )
            self.servers_by_pool[pool] = trusted or tuple(views)

    def _known(self, pool: str) -> list[ServerView]:
        return [view for view in self.by_instance.values() if view.pool == pool]


def _kept(before: Mapping[str, ServerView], view: ServerView) -> ServerView:
    """Keep since when a server was known to be ready."""
    known = before.get(view.instance)
    if known is None or known.incarnation != view.incarnation:
        return view
    return replace(view, ready_at=known.ready_at)


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
