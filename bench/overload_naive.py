"""The naive policy: round robin, fixed queue, three retries at each hop."""

from collections import deque
from collections.abc import Callable
from itertools import cycle
from random import Random

from bench.overload_fleet import HOP_DELAY_S
from bench.overload_load import LOST_RESPONSE_SHARE, Request, Topology
from bench.virtual_time import Events, FakeServer, Job

RETRIES_PER_HOP = 3
ATTEMPT_TIMEOUT_SHARE = 0.5
"""Timeout of one attempt, as a share of the timeout of the hop above."""

Done = Callable[[bool], None]


class Node:
    """A server with a first-in, first-out queue of bounded length."""

    def __init__(self, server: FakeServer, queue_per_slot: int) -> None:
        self.server = server
        self._max_queue_length = queue_per_slot * server.slots
        self._queue: deque[Attempt] = deque()

    def admit(self, attempt: "Attempt") -> None:
        """Run, queue or refuse an attempt."""
        if self.server.running < self.server.slots:
            attempt.run()
        elif len(self._queue) < self._max_queue_length:
            self._queue.append(attempt)
        else:
            attempt.reply(succeeded=False)

    def run_next(self) -> None:
        """Run the next queued attempt if a slot is free."""
        if self._queue and self.server.running < self.server.slots:
            self._queue.popleft().run()


class Call:
    """A call that retries without a delay; `timeout_s` applies to each attempt."""

    def __init__(
        self,
        system: "NaiveSystem",
        request: Request,
        depth: int,
        timeout_s: float,
        done: Done,
    ) -> None:
        self.system = system
        self.request = request
        self.depth = depth
        self.timeout_s = timeout_s
        self._done = done
        self._attempts = 0
        self._current: Attempt | None = None

    def send(self) -> None:
        """Send an attempt to the next server by round robin."""
        self._attempts += 1
        self.request.attempts += 1
        attempt = Attempt(self, self.system.next_node(self.depth))
        self._current = attempt
        events = self.system.events
        events.after(HOP_DELAY_S, attempt.node.admit, attempt)
        events.after(self.timeout_s, self.on_response, attempt, False)

    def on_response(self, attempt: "Attempt", succeeded: bool) -> None:
        """Handle the response or timeout of the current attempt."""
        if attempt is not self._current:
            return
        self._current = None
        if succeeded or self._attempts > RETRIES_PER_HOP:
            self._done(succeeded)
        else:
            self.send()


class Attempt:
    """One attempt of a call."""

    def __init__(self, call: Call, node: Node) -> None:
        self.call = call
        self.node = node
        self._job: Job | None = None

    def run(self) -> None:
        """Start at the server, even if the caller no longer waits."""
        if self.call.depth == 0:
            self.call.request.runs += 1
        else:
            self.call.request.deep_runs += 1
        self._job = self.node.server.begin()
        self.node.server.work(self._job, self._on_work_done)

    def _on_work_done(self) -> None:
        call = self.call
        if call.depth + 1 == len(call.system.topology.pools):
            self._finish(True)
            return
        timeout_s = call.timeout_s * ATTEMPT_TIMEOUT_SHARE
        nested = Call(
            call.system, call.request, call.depth + 1, timeout_s, self._finish
        )
        nested.send()

    def _finish(self, succeeded: bool) -> None:
        assert self._job is not None
        self.call.request.held_s += self.node.server.end(self._job)
        self.node.run_next()
        if self.call.system.rng.random() < LOST_RESPONSE_SHARE:
            self.call.request.lost = True
            succeeded = False
        self.reply(succeeded=succeeded)

    def reply(self, *, succeeded: bool) -> None:
        """Send back a response or an error."""
        events = self.call.system.events
        events.after(HOP_DELAY_S, self.call.on_response, self, succeeded)


class NaiveSystem:
    """Naive system with all nodes of one topology."""

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
        self._node_cycles = [
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
        """Return the next node of a pool by round robin."""
        return next(self._node_cycles[depth])

    def submit(self, request: Request, ended: Callable[[Request, bool], None]) -> None:
        """Send a request; the caller waits until the deadline."""
        caller_waits = [True]

        def done(succeeded: bool) -> None:
            if not caller_waits[0]:
                return
            caller_waits[0] = False
            if succeeded:
                request.answered_at = self.events.now
            ended(request, True)

        timeout_s = self.topology.deadline_s * ATTEMPT_TIMEOUT_SHARE
        left_s = request.deadline - self.events.now
        self.events.after(left_s, done, False)
        Call(self, request, 0, timeout_s, done).send()
