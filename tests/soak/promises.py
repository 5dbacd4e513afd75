"""What must hold, checked from what callers and backend servers saw."""

from collections import Counter
from dataclasses import dataclass, field

from damaskbay.core.call import Answer
from tests.soak.machines import REVOKE_S, Ledger

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DRAIN_SLACK_S = 0.3
"""Seconds between a send and its arrival on a busy machine."""


@dataclass
class Sent:
    """
    A request as its caller saw it.

    `answer` is None where none came; `failure` then tells why.
    `ended_at` stays 0 where the caller itself broke off, at the end of the soak.
    """

    request_id: str
    kind: str
    key: str | None
    pool: str
    sent_at: float
    answer: Answer | None = None
    failure: str = ""
    ended_at: float = 0.0


@dataclass
class Promises:
    """
    Collects what broke; `withdrawn_at` is when each key was taken away.

    With `planned` nothing but stops, changes of the set and leaving servers came.
    """

    ledger: Ledger
    tenants_by_key: dict[str, str]
    planned: bool = False
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)

    def ended(self, sent: Sent) -> None:
        """Check one request at its end."""
        status = sent.answer.status if sent.answer is not None else 0
        self.statuses[f"{sent.kind} {status}"] += 1
        if sent.answer is not None and status == 200:
            self._whole(sent, sent.answer)

    def finish(self, requests: list[Sent]) -> None:
        """Check what can be told only when everything is over."""
        for sent in requests:
            runs = self.ledger.ran(sent.request_id)
            status = sent.answer.status if sent.answer is not None else 0
            if sent.kind == "unsafe" and len(runs) > 1:
                self._break(sent, f"ran {len(runs)} times")
            if sent.kind == "unsafe" and status in NOT_RUN_STATUSES and runs:
                self._break(sent, f"answered {status}, yet ran")
            if self.planned and sent.ended_at and runs and status in (0, 502):
                where = ", ".join(
                    f"{run.server} at {run.at - sent.sent_at:.3f}" for run in runs
                )
                took_s = sent.ended_at - sent.sent_at
                why = f"{status} {sent.failure} after {took_s:.3f} s"
                self._break(
                    sent, f"ran ({where}), but was cut amid planned work ({why})"
                )
            for run in runs:
                self._arrival(sent, run.headers)
            gone_at = self.withdrawn_at.get(sent.key or "")
            if gone_at is not None and sent.sent_at > gone_at + REVOKE_S and runs:
                late_s = sent.sent_at - gone_at
                self._break(sent, f"ran {late_s:.1f} s after its key was withdrawn")

    def drained(self, server: str, acked_at: float, drain_s: float) -> None:
        """Check that nothing reached a server long after its leaving was known."""
        last = acked_at + drain_s + DRAIN_SLACK_S
        for request_id, runs in self.ledger.runs.items():
            for run in runs:
                if run.server == server and run.at > last:
                    late_s = run.at - acked_at
                    self.broken.append(
                        f"{request_id}: reached {server} {late_s:.1f} s after it left"
                    )

    def outstayed(self, machine: str) -> None:
        """Take note of a daemon that was still there at the end of its grace time."""
        if self.planned:
            self.broken.append(f"{machine}: still there at the end of its grace time")

    def _whole(self, sent: Sent, answer: Answer) -> None:
        headers = {name.lower(): value for name, value in answer.headers}
        if not answer.body.startswith(f"{sent.request_id} ".encode()):
            self._break(sent, f"got the answer {answer.body!r}")
        if not headers.get("x-server-stamp", "").startswith(sent.request_id):
            self._break(sent, "success without the server's stamp")

    def _arrival(self, sent: Sent, headers: dict[str, str]) -> None:
        if "api-key" in headers:
            self._break(sent, "its key reached a server")
        tenant = self.tenants_by_key.get(sent.key or "")
        if headers.get("x-tenant") != tenant:
            self._break(sent, f"ran for {headers.get('x-tenant')!r}")
        if headers.get("x-caller-service") != sent.pool:
            self._break(sent, f"came from {headers.get('x-caller-service')!r}")

    def _break(self, sent: Sent, what: str) -> None:
        self.broken.append(f"{sent.request_id} ({sent.kind}): {what}")
