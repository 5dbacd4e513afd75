"""Invariants of the soak, checked on what callers and backend servers observed."""

from collections import Counter
from dataclasses import dataclass, field

from damaskbay.core.call import Response
from tests.soak.machines import REVOKE_S, ExecutionLog

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DRAIN_ARRIVAL_SLACK_S = 0.3
"""Seconds that a sent call may take to arrive on a busy machine."""


@dataclass
class SentRequest:
    """
    Request as its caller observed it.

    `response` is None if none arrived; `failure` then gives the reason.
    `ended_at` stays 0 if the caller was cancelled at the end of the soak.
    """

    request_id: str
    kind: str
    key: str | None
    pool: str
    sent_at: float
    response: Response | None = None
    failure: str = ""
    ended_at: float = 0.0


@dataclass
class InvariantChecker:
    """
    Checks the invariants and collects violations.

    `withdrawn_at` holds the time of withdrawal by key. `planned` means that the soak
    has only graceful stops, configuration changes and drained servers.
    """

    execution_log: ExecutionLog
    workspaces_by_key: dict[str, str]
    planned: bool = False
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)

    def check_response(self, sent: SentRequest) -> None:
        """Check the response of a request and count its status."""
        status = sent.response.status if sent.response is not None else 0
        self.statuses[f"{sent.kind} {status}"] += 1
        if sent.response is not None and status == 200:
            self._check_response_content(sent, sent.response)

    def check_executions(self, requests: list[SentRequest]) -> None:
        """Check the executions of all requests after the soak."""
        for sent in requests:
            executions = self.execution_log.of_request(sent.request_id)
            status = sent.response.status if sent.response is not None else 0
            if sent.kind == "unsafe" and len(executions) > 1:
                self._record_violation(sent, f"ran {len(executions)} times")
            if sent.kind == "unsafe" and status in NOT_RUN_STATUSES and executions:
                self._record_violation(sent, f"answered {status}, yet ran")
            if self.planned and sent.ended_at and executions and status in (0, 502):
                executed_at = ", ".join(
                    f"{execution.server} at {execution.arrived_at - sent.sent_at:.3f}"
                    for execution in executions
                )
                took_s = sent.ended_at - sent.sent_at
                why = f"{status} {sent.failure} after {took_s:.3f} s"
                self._record_violation(
                    sent, f"ran ({executed_at}), but was cut amid planned work ({why})"
                )
            for execution in executions:
                self._check_server_headers(sent, execution.headers)
            withdrawn_at = self.withdrawn_at.get(sent.key or "")
            if (
                withdrawn_at is not None
                and sent.sent_at > withdrawn_at + REVOKE_S
                and executions
            ):
                late_s = sent.sent_at - withdrawn_at
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

    def record_late_stop(self, machine: str) -> None:
        """Record a daemon that was still running at the end of its grace time."""
        if self.planned:
            self.violations.append(
                f"{machine}: still there at the end of its grace time"
            )

    def _check_response_content(self, sent: SentRequest, response: Response) -> None:
        headers = {name.lower(): value for name, value in response.headers}
        if not response.body.startswith(f"{sent.request_id} ".encode()):
            self._record_violation(sent, f"got the answer {response.body!r}")
        if not headers.get("x-server-stamp", "").startswith(sent.request_id):
            self._record_violation(sent, "success without the server's stamp")

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
        self.violations.append(f"{sent.request_id} ({sent.kind}): {violation}")
