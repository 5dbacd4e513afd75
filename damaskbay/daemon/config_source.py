"""Reads accepted sets from the platform for a relay."""

from damaskbay.config.document import Document
from damaskbay.config.exceptions import LoadFailure, LoadProblem
from damaskbay.config.head import HeadRecord
from damaskbay.config.store import ConfigStore, Head as StoredHead
from damaskbay.daemon.config_messages import Head, SetInvalid, SourceUnavailable
from damaskbay.ports.platform import Platform


class PlatformSetSource:
    """Implements SetSource over the platform. Used by one thread at a time."""

    def __init__(self, platform: Platform) -> None:
        self._store = ConfigStore(platform)
        self._record: HeadRecord | None = None

    def watch(
        self, *, after_revision: int, timeout_s: float
    ) -> Head | SourceUnavailable | None:
        """Wait for a head beyond a revision; None: time is up without one."""
        seen = self._store.watch_head(
            after_revision=after_revision, timeout_s=timeout_s
        )
        if isinstance(seen, StoredHead):
            self._record = seen.record
            return Head(seen.revision, seen.record.version, seen.record.digest)
        if isinstance(seen, LoadFailure):
            if seen.problem is LoadProblem.UNAVAILABLE:
                return SourceUnavailable(seen.detail)
            return Head(seen.revision, 0, "", seen.detail)
        return None

    def load(
        self, head: Head, held: Document | None, *, timeout_s: float
    ) -> Document | SourceUnavailable | SetInvalid:
        """Return the whole, checked set of a head; `held` spares equal parts."""
        record = self._record
        if record is None or record.version != head.version:
            return SetInvalid(f"the record of version {head.version} is gone")
        result = self._store.load(record, held, timeout_s=timeout_s)
        if isinstance(result, Document):
            return result
        if result.problem is LoadProblem.UNAVAILABLE:
            return SourceUnavailable(result.detail)
        return SetInvalid(f"{result.problem.value}: {result.detail}")
