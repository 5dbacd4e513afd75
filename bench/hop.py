"""Round-trip time of a small request over a peer stream and a plain socket."""

import argparse
import random
import resource
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from typing import Any, Final

from bench.common import finish, parser
from damaskbay.adapters.peer_stream import PeerStreamOptions, PeerStreams
from damaskbay.helpers.messages import message
from damaskbay.ports.peer import PeerAddress, PeerIdentity, Responder

HOST: Final = "127.0.0.1"
SECRET: Final = b"bench peer secret"
BODY_BYTES: Final = 300
TIMEOUT_S: Final = 10.0
RATE_PER_S: Final = 140.0
PACED_CALLS: Final = 1_400
STEADY_CALLS: Final = 5_000
QUICK_SHARE: Final = 0.1
WARM_UP_CALLS: Final = 5
WORKERS: Final = 4
SERVED: Final = ("bare", "inline", "stream")


@message("bench.hop.ask")
@dataclass(frozen=True, slots=True)
class HopRequest:
    """A request of the benchmark."""

    number: int
    body: bytes


@message("bench.hop.tell")
@dataclass(frozen=True, slots=True)
class HopReply:
    """The reply to a request."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one transport at one load: latency and processor time per call."""

    p50_ms: float
    p99_ms: float
    cpu_ms_client: float
    cpu_ms_server: float
    calls_per_s: float


Call = Callable[[int], None]


def main(arguments: list[str] | None = None) -> int:
    """Run the benchmark and print a table or JSON."""
    arguments_parser = parser(__doc__ or "")
    arguments_parser.add_argument("--serve", choices=SERVED, help=argparse.SUPPRESS)
    options = arguments_parser.parse_args(arguments)
    if options.serve:
        return _serve(options.serve)
    share = QUICK_SHARE if options.quick else 1.0
    result = _measure(random.Random(options.seed), share)
    return finish("hop", result, options)


def _measure(rng: random.Random, share: float) -> dict[str, Any]:
    """Measure all transports in turn, so that machine load affects all equally."""
    paced, steady = int(PACED_CALLS * share), int(STEADY_CALLS * share)
    with _bare() as bare, _stream("inline") as inline, _stream("stream") as stream:
        transports = {"bare": bare, "inline": inline, "stream": stream}
        for transport in transports.values():
            for number in range(10 * WARM_UP_CALLS):
                transport.call(number)
        return {
            "paced": _as_json(_paced(transports, paced, rng)),
            "steady": _as_json(_steady(transports, steady)),
        }


@dataclass(slots=True)
class Transport:
    """A transport for calls, and the processor time of its server process."""

    call: Call
    server_cpu_s: Callable[[], float]


def _paced(
    transports: dict[str, Transport], calls: int, rng: random.Random
) -> dict[str, Figures]:
    """Call at the target rate of one daemon, with the transports in turn."""
    rounds = 10
    samples: dict[str, list[Figures]] = {name: [] for name in transports}
    times: dict[str, list[float]] = {name: [] for name in transports}
    for _ in range(rounds):
        for name in rng.sample(sorted(transports), len(transports)):
            pauses = [rng.expovariate(RATE_PER_S) for _ in range(calls // rounds)]
            for number in range(WARM_UP_CALLS):
                transports[name].call(number)
            figures = _run(transports[name], pauses, times[name])
            samples[name].append(figures)
    return {name: _merge_samples(samples[name], times[name]) for name in transports}


def _steady(transports: dict[str, Transport], calls: int) -> dict[str, Figures]:
    """Send calls back to back."""
    figures = {}
    for name, transport in transports.items():
        times: list[float] = []
        figures[name] = _merge_samples([_run(transport, [0.0] * calls, times)], times)
    return figures


def _run(transport: Transport, pauses: list[float], times: list[float]) -> Figures:
    started_at = time.perf_counter()
    client_cpu, server_cpu = _cpu_s(), transport.server_cpu_s()
    for number, pause_s in enumerate(pauses):
        if pause_s:
            time.sleep(pause_s)
        before = time.perf_counter()
        transport.call(number)
        times.append(time.perf_counter() - before)
    took_s = time.perf_counter() - started_at
    count = len(pauses)
    return Figures(
        0.0,
        0.0,
        (_cpu_s() - client_cpu) * 1_000 / count,
        (transport.server_cpu_s() - server_cpu) * 1_000 / count,
        count / took_s,
    )


def _merge_samples(samples: list[Figures], times: list[float]) -> Figures:
    percentiles = statistics.quantiles(times, n=100)
    return Figures(
        round(percentiles[49] * 1_000, 4),
        round(percentiles[98] * 1_000, 4),
        round(statistics.fmean(item.cpu_ms_client for item in samples), 4),
        round(statistics.fmean(item.cpu_ms_server for item in samples), 4),
        round(statistics.fmean(item.calls_per_s for item in samples), 1),
    )


def _as_json(figures: dict[str, Figures]) -> dict[str, Any]:
    return {name: asdict(item) for name, item in figures.items()}


@contextmanager
def _server(transport: str) -> Iterator[tuple[int, Callable[[], float]]]:
    """Run the server process; yield its port and a function for its processor time."""
    command = [sys.executable, "-m", "bench.hop", "--serve", transport]
    process = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert process.stdin is not None
    assert process.stdout is not None
    stdin, stdout = process.stdin, process.stdout

    def cpu_s() -> float:
        stdin.write("\n")
        stdin.flush()
        return float(stdout.readline())

    try:
        yield int(stdout.readline()), cpu_s
    finally:
        stdin.close()
        process.wait(TIMEOUT_S)
        stdout.close()


@contextmanager
def _bare() -> Iterator[Transport]:
    """Call over a blocking socket; this is the lower bound."""
    body = bytes(BODY_BYTES)
    with _server("bare") as (port, cpu_s):
        with socket.create_connection((HOST, port)) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def call(_number: int) -> None:
                sock.sendall(body)
                _read(sock)

            yield Transport(call, cpu_s)


@contextmanager
def _stream(served: str) -> Iterator[Transport]:
    """Call over a peer stream; a worker or the link's own thread sends the reply."""
    body = bytes(BODY_BYTES)
    with _server(served) as (port, cpu_s), _link("client") as link:
        peer = PeerAddress(HOST, port)

        def call(number: int) -> None:
            ask = HopRequest(number, body)
            answer = link.request(peer, ask, timeout_s=TIMEOUT_S).result()
            if not isinstance(answer, HopReply):
                raise RuntimeError(f"no answer: {answer}")

        yield Transport(call, cpu_s)


def _link(name: str) -> PeerStreams:
    return PeerStreams(
        PeerIdentity(name, 1, "bench"),
        PeerAddress(HOST, 0),
        PeerStreamOptions(),
        secrets=(SECRET,),
    )


def _serve(transport: str) -> int:
    if transport == "bare":
        with socket.create_server((HOST, 0)) as listener, ThreadPoolExecutor(1) as pool:
            print(listener.getsockname()[1], flush=True)
            pool.submit(_serve_bare, listener)
            _report()
        return 0
    link = _link("server")
    with ThreadPoolExecutor(WORKERS) as pool:

        def answer(item: HopRequest, responder: Responder) -> None:
            responder.reply(HopReply(item.number, item.body))

        def handle(_: PeerIdentity, item: HopRequest, responder: Responder) -> None:
            if transport == "inline":
                answer(item, responder)
            else:
                pool.submit(answer, item, responder)

        link.register(HopRequest, handle)
        with link:
            print(link.address.port, flush=True)
            _report()
    return 0


def _serve_bare(listener: socket.socket) -> None:
    sock, _ = listener.accept()
    with sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while _read(sock):
            sock.sendall(bytes(BODY_BYTES))


def _read(sock: socket.socket) -> bytes:
    return sock.recv(BODY_BYTES, socket.MSG_WAITALL)


def _report() -> None:
    """Print the processor seconds used so far for each line on standard input."""
    for _ in sys.stdin:
        print(_cpu_s(), flush=True)


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    sys.exit(main())
