"""Names of the HTTP headers between callers, daemons and backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """
    Header names of one deployment.

    A server sets `not_run` on the response to a call that it did not run; the
    statuses in `not_run_statuses` mean the same without this header, unless there is a
    `stamp`, which it sets on the response to a call that it did run. It names in
    `limit` the requests per second that it takes, and sets `leaving` while it drains.
    `cold_ms` in a response of its health check says how long it stays cold.
    """

    request_id: str
    deadline_ms: str
    key: str
    stamp: str
    workspace: str
    caller: str
    expected_server: str
    server: str
    not_run: str
    retry_after: str
    limit: str
    leaving: str
    cold_ms: str
    not_run_statuses: frozenset[int]

    @property
    def reserved_headers(self) -> frozenset[str]:
        """Return the headers, in lower case, that callers can't set."""
        return frozenset(
            name.lower()
            for name in (
                self.key,
                self.deadline_ms,
                self.workspace,
                self.caller,
                self.expected_server,
                self.server,
                self.not_run,
                self.stamp,
            )
        )
