"""Backend server with scripted responses."""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from damaskbay.adapters.backend_http.client import (
    BackendHttpOptions,
    HttpBackendServer,
)

WAIT_S = 10.0
READ_BYTES = 65536

Script = Callable[[socket.socket], None]


@contextmanager
def scripted_server(script: Script) -> Iterator[int]:
    """Run `script` for each accepted connection; yield the port."""
    listener = socket.create_server(("127.0.0.1", 0))
    stop = threading.Event()
    threads: list[threading.Thread] = []

    def accept() -> None:
        while not stop.is_set():
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            thread = threading.Thread(target=run, args=(connection,), daemon=True)
            thread.start()
            threads.append(thread)

    def run(connection: socket.socket) -> None:
        with connection:
            connection.settimeout(WAIT_S)
            try:
                script(connection)
            except OSError:
                return

    acceptor = threading.Thread(target=accept, daemon=True)
    acceptor.start()
    try:
        yield listener.getsockname()[1]
    finally:
        stop.set()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        acceptor.join(WAIT_S)
        for thread in threads:
            thread.join(WAIT_S)


def read_request(connection: socket.socket) -> bytes:
    """Read up to the end of the headers; a small body is in the same read."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(READ_BYTES)
        if not chunk:
            return data
        data += chunk
    return data


@contextmanager
def backend_at(port: int, *, max_connections: int = 4) -> Iterator[HttpBackendServer]:
    """Yield a client of the backend server at a loopback port."""
    options = BackendHttpOptions("127.0.0.1", port, max_connections)
    with HttpBackendServer(options) as backend:
        yield backend
