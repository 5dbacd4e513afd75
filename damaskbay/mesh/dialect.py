"""Names of the headers that callers and backend servers speak."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Dialect:
    """
    Header names of one deployment.

    `not_run` marks an answer of a server that did not run the request; the
    statuses of `not_run_statuses` say so without it.
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
    not_run_statuses: frozenset[int]

    @property
    def reserved_headers(self) -> frozenset[str]:
        """Return the headers, in lower case, that callers can't set themselves."""
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
