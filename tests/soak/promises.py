"""Invariants of the soak, checked on what callers and backend servers observed."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from damaskbay.core.call import Response
from tests.soak.daemons import REVOKE_S
from tests.soak.limits import LimitRecord
from tests.soak.planned import (
    CALLER_CLOSED,
    OVERDUE,
    LagRecorder,
    find_interruption,
    has_stamp,
)
from tests.soak.records import (
    Disturbance,
    Execution,
    ExecutionLog,
    SentRequest,
    Stop,
)

CONTACT_S = 3.0
"""Seconds without a disturbance after which a machine is sound again."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DRAIN_ARRIVAL_SLACK_S = 0.3
"""Seconds that a sent call may take to arrive on a busy machine."""


@dataclass
class InvariantChecker:
    """
    Checks the invariants and collects violations.

    `withdrawn_at` holds the time of withdrawal by key. `describe` returns what is added
    to a violation by a request. `planned` means that the soak
    has only graceful stops, configuration changes and drained servers.
    """

    execution_log: ExecutionLog
    workspaces_by_key: dict[str, str]
    planned: bool = False
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    describe: Callable[[SentRequest], str] = lambda _: ""
    violations: list[str] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)

    def check_response(self, sent: SentRequest) -> None:
        """Check the response of a request and count its status."""
        self.statuses[f"{sent.kind} {sent.status}"] += 1
        if sent.response is not None and sent.status == 200:
            self._check_response_content(sent, sent.response)

    def check_executions(self, requests: Sequence[SentRequest]) -> None:
        """Check the executions of all requests after the soak."""
        for sent in requests:
            executions = self.execution_log.of_request(sent.request_id)
            if sent.kind == "unsafe" and len(executions) > 1:
                self._record_violation(sent, f"ran {len(executions)} times")
            if sent.kind == "unsafe" and sent.status in NOT_RUN_STATUSES and executions:
                self._record_violation(sent, f"answered {sent.status}, yet ran")
            for execution in executions:
                self._check_server_headers(sent, execution.headers)
                if execution.body_bytes != sent.body_bytes:
                    self._record_violation(
                        sent,
                        f"ran with a body of {execution.body_bytes} bytes, not "
                        f"{sent.body_bytes}",
                    )
            self._check_withdrawn_key(sent, executions)

    def check_interruptions(
        self,
        requests: Sequence[SentRequest],
        stops_by_machine: Mapping[str, Sequence[Stop]],
        lag: LagRecorder,
        disturbed_by_machine: Mapping[str, Sequence[Disturbance]] | None = None,
    ) -> None:
        """
        Check that planned work interrupted no request.

        Requests are left out whose machines were disturbed, or just before. Unless
        planned work is the only fault, responses may be late, or the daemon's own.
        """
        disturbed_by_machine = disturbed_by_machine or {}
        for sent in requests:
            executions = self.execution_log.of_request(sent.request_id)
            machines = {sent.machine, *(one.machine for one in executions)}
            if any(
                disturbance.touches(sent.sent_at - CONTACT_S, sent.ended_at)
                for machine in machines
                for disturbance in disturbed_by_machine.get(machine, ())
            ):
                continue
            lag_s = lag.total_s(sent.last_byte_at, sent.ended_at)
            found = find_interruption(
                sent,
                executions,
                stops_by_machine,
                lag_s,
                strict=self.planned,
            )
            if found is not None:
                self._record_violation(sent, found)

    def _check_withdrawn_key(
        self, sent: SentRequest, executions: Sequence[Execution]
    ) -> None:
        withdrawn_at = self.withdrawn_at.get(sent.key or "")
        if withdrawn_at is None or not executions:
            return
        late_s = sent.sent_at - withdrawn_at
        if late_s > REVOKE_S:
            self._record_violation(
                sent, f"ran {late_s:.1f} s after its key was withdrawn"
            )

    def check_drained(self, server: str, acked_at: float, drain_s: float) -> None:
        """Check that no call reached a server after its drain time."""
        deadline = acked_at + drain_s + DRAIN_ARRIVAL_SLACK_S
        for request_id, executions in self.execution_log.executions.items():
            for execution in executions:
                if execution.server == server and execution.arrived_at > deadline:
                    late_s = execution.arrived_at - acked_at
                    self.violations.append(
                        f"{request_id}: reached {server} {late_s:.1f} s after it left"
                    )

    def check_limits(self, machine: str, limits: LimitRecord) -> None:
        """Check that a server got no more requests than the limits that it named."""
        for excess in limits.find_excess():
            self.violations.append(f"{machine}: its server got {excess}")

    def check_own_ends(self, machine: str, own_ends: Sequence[str]) -> None:
        """Check that no daemon ended without being asked to."""
        self.violations.extend(f"{machine}: ended by itself, {end}" for end in own_ends)

    def check_lost(
        self,
        requests: Sequence[SentRequest],
        disturbed_by_machine: Mapping[str, Sequence[Disturbance]],
        unsound_by_machine: Mapping[str, Sequence[Disturbance]],
    ) -> None:
        """
        Check that undisturbed machines answered what sound servers have run.

        `unsound_by_machine` holds when the server of a machine was not sound.
        """
        for sent in requests:
            executions = self.execution_log.of_request(sent.request_id)
            closed = sent.ended_at and sent.response is None
            if not closed or not executions or sent.failure in (OVERDUE, CALLER_CLOSED):
                continue
            start, end = sent.sent_at - CONTACT_S, sent.ended_at
            if any(
                disturbance.touches(start, end)
                for disturbance in disturbed_by_machine[sent.machine]
            ) or any(
                disturbance.touches(start, end)
                for execution in executions
                for disturbance in unsound_by_machine[execution.machine]
            ):
                continue
            self._record_violation(sent, f"ran, but was closed: {sent.failure}")

    def record_late_stop(self, machine: str) -> None:
        """Record a daemon that was still running at the end of its grace time."""
        if self.planned:
            self.violations.append(
                f"{machine}: still there at the end of its grace time"
            )

    def _check_response_content(self, sent: SentRequest, response: Response) -> None:
        headers = {name.lower(): value for name, value in response.headers}
        if not response.body.startswith(f"{sent.request_id} ".encode()):
            self._record_violation(sent, f"got the answer {response.body[:200]!r}")
        stamp = headers.get("x-server-stamp", "")
        if not stamp.startswith(f"{sent.request_id}."):
            self._record_violation(sent, "success without the server's stamp")
        elif not stamp.endswith(f".{len(response.body)}"):
            self._record_violation(sent, f"got {len(response.body)} bytes for {stamp}")

    def _check_server_headers(self, sent: SentRequest, headers: dict[str, str]) -> None:
        if "api-key" in headers:
            self._record_violation(sent, "its key reached a server")
        workspace = self.workspaces_by_key.get(sent.key or "")
        if headers.get("x-tenant") != workspace:
            self._record_violation(sent, f"ran for {headers.get('x-tenant')!r}")
        if headers.get("x-caller-service") != sent.pool:
            self._record_violation(
                sent, f"came from {headers.get('x-caller-service')!r}"
            )

    def _record_violation(self, sent: SentRequest, violation: str) -> None:
        self.violations.append(
            f"{sent.request_id} ({sent.kind}): {violation}{self.describe(sent)}"
        )


def count_ends(requests: Sequence[SentRequest]) -> Counter[str]:
    """Return how requests ended: by status and who set it, or without a response."""
    ends: Counter[str] = Counter()
    for sent in requests:
        if sent.response is None:
            ends[_describe_missing(sent)] += 1
        elif has_stamp(sent):
            ends[f"server {sent.status}"] += 1
        else:
            kind = "refused" if sent.status in NOT_RUN_STATUSES else "own"
            ends[f"{kind} {sent.status}"] += 1
    return ends


def _describe_missing(sent: SentRequest) -> str:
    if not sent.ended_at or sent.failure == CALLER_CLOSED:
        return "left by the caller"
    return "unanswered" if sent.failure == OVERDUE else "closed"
