"""Timeouts of connections to the backend server."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 1.0
IDLE_CONNECTION_S: Final = 20.0
