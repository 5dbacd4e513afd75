"""The naive version: round robin, fixed queue, three blind retries at each hop."""

from collections import deque
from collections.abc import Callable
from itertools import cycle
from random import Random

from bench.overload_fleet import HOP_S
from bench.overload_load import LOST_SHARE, Request, Topology
from bench.virtual_time import Events, FakeServer, Job

RETRIES_PER_HOP = 3
ATTEMPT_SHARE = 0.5
"""How long one attempt may take, as a share of what the hop above allows."""

Done = Callable[[bool], None]


class Node:
    """One server with a queue of fixed length, first in first out."""

    def __init__(self, server: FakeServer, queue_per_slot: int) -> None:
        self.server = server
        self._longest = queue_per_slot * server.slots
        self._queue: deque[Attempt] = deque()

    def admit(self, attempt: "Attempt") -> None:
        """Run, queue or turn away."""
        if self.server.running < self.server.slots:
            attempt.run()
        elif len(self._queue) < self._longest:
            self._queue.append(attempt)
        else:
            attempt.reply(good=False)

    def next(self) -> None:
        """Run the next of the queue in a freed slot."""
        if self._queue and self.server.running < self.server.slots:
            self._queue.popleft().run()


class Call:
    """A call with its blind retries; `time_s` is how long one attempt may take."""

    def __init__(
        self,
        system: "NaiveSystem",
        request: Request,
        depth: int,
        time_s: float,
        done: Done,
    ) -> None:
        self.system = system
        self.request = request
        self.depth = depth
        self.time_s = time_s
        self._done = done
        self._sends = 0
        self._current: Attempt | None = None

    def send(self) -> None:
        """Send to the next server in turn."""
        self._sends += 1
        self.request.attempts += 1
        attempt = Attempt(self, self.system.next_node(self.depth))
        self._current = attempt
        events = self.system.events
        events.after(HOP_S, attempt.node.admit, attempt)
        events.after(self.time_s, self.answered, attempt, False)

    def answered(self, attempt: "Attempt", good: bool) -> None:
        """Take the answer of the current attempt, or its time-out."""
        if attempt is not self._current:
            return
        self._current = None
        if good or self._sends > RETRIES_PER_HOP:
            self._done(good)
        else:
            self.send()


class Attempt:
    """One send of a call."""

    def __init__(self, call: Call, node: Node) -> None:
        self.call = call
        self.node = node
        self._job: Job | None = None

    def run(self) -> None:
        """Start at the server, whether or not anybody still waits."""
        if self.call.depth == 0:
            self.call.request.runs += 1
        else:
            self.call.request.deep_runs += 1
        self._job = self.node.server.begin()
        self.node.server.work(self._job, self._worked)

    def _worked(self) -> None:
        call = self.call
        if call.depth + 1 == len(call.system.topology.pools):
            self._finish(True)
            return
        time_s = call.time_s * ATTEMPT_SHARE
        nested = Call(call.system, call.request, call.depth + 1, time_s, self._finish)
        nested.send()

    def _finish(self, good: bool) -> None:
        assert self._job is not None
        self.call.request.held_s += self.node.server.end(self._job)
        self.node.next()
        if self.call.system.rng.random() < LOST_SHARE:
            self.call.request.lost = True
            good = False
        self.reply(good=good)

    def reply(self, *, good: bool) -> None:
        """Send back an answer or an error."""
        events = self.call.system.events
        events.after(HOP_S, self.call.answered, self, good)


class NaiveSystem:
    """All nodes of one topology, as callers see them."""

    def __init__(
        self,
        events: Events,
        topology: Topology,
        servers: list[FakeServer],
        rng: Random,
        queue_per_slot: int,
    ) -> None:
        self.events = events
        self.topology = topology
        self.rng = rng
        self._turns = [
            cycle(
                [
                    Node(server, queue_per_slot)
                    for server in servers
                    if server.pool == pool.name
                ]
            )
            for pool in topology.pools
        ]

    def next_node(self, depth: int) -> Node:
        """Return the node whose turn it is."""
        return next(self._turns[depth])

    def submit(self, request: Request, ended: Callable[[Request, bool], None]) -> None:
        """Send a request; its caller waits until its deadline."""
        open_call = [True]

        def done(good: bool) -> None:
            if not open_call[0]:
                return
            open_call[0] = False
            if good:
                request.answered_at = self.events.now
            ended(request, True)

        time_s = self.topology.deadline_s * ATTEMPT_SHARE
        left_s = request.deadline - self.events.now
        self.events.after(left_s, done, False)
        Call(self, request, 0, time_s, done).send()
