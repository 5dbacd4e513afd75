"""Round trip of a small request over one peer stream, beside a bare socket."""

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
class HopAsk:
    """A small request."""

    number: int
    body: bytes


@message("bench.hop.tell")
@dataclass(frozen=True, slots=True)
class HopTell:
    """Its answer."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Figures:
    """Times of one way at one load: milliseconds, and processor ms per call."""

    p50_ms: float
    p99_ms: float
    cpu_ms_client: float
    cpu_ms_server: float
    calls_per_s: float


Call = Callable[[int], None]


def main(arguments: list[str] | None = None) -> int:
    """Run the bench; print a table or JSON."""
    arguments_parser = parser(__doc__ or "")
    arguments_parser.add_argument("--serve", choices=SERVED, help=argparse.SUPPRESS)
    options = arguments_parser.parse_args(arguments)
    if options.serve:
        return _serve(options.serve)
    share = QUICK_SHARE if options.quick else 1.0
    result = _measure(random.Random(options.seed), share)
    return finish("hop", result, options)


def _measure(rng: random.Random, share: float) -> dict[str, Any]:
    """Interleave the ways, so that all see the same machine."""
    paced, steady = int(PACED_CALLS * share), int(STEADY_CALLS * share)
    with _bare() as bare, _stream("inline") as inline, _stream("stream") as stream:
        ways = {"bare": bare, "inline": inline, "stream": stream}
        for way in ways.values():
            for number in range(10 * WARM_UP_CALLS):
                way.call(number)
        return {
            "paced": _as_json(_paced(ways, paced, rng)),
            "steady": _as_json(_steady(ways, steady)),
        }


@dataclass(slots=True)
class Way:
    """One way to make a call, and the processor seconds of its server."""

    call: Call
    server_cpu_s: Callable[[], float]


def _paced(ways: dict[str, Way], calls: int, rng: random.Random) -> dict[str, Figures]:
    """Call at the target's rate for each daemon, the ways in turn."""
    rounds = 10
    samples: dict[str, list[Figures]] = {name: [] for name in ways}
    times: dict[str, list[float]] = {name: [] for name in ways}
    for _ in range(rounds):
        for name in rng.sample(sorted(ways), len(ways)):
            pauses = [rng.expovariate(RATE_PER_S) for _ in range(calls // rounds)]
            for number in range(WARM_UP_CALLS):
                ways[name].call(number)
            figures = _run(ways[name], pauses, times[name])
            samples[name].append(figures)
    return {name: _merged(samples[name], times[name]) for name in ways}


def _steady(ways: dict[str, Way], calls: int) -> dict[str, Figures]:
    """Call one after the other without a pause."""
    figures = {}
    for name, way in ways.items():
        times: list[float] = []
        figures[name] = _merged([_run(way, [0.0] * calls, times)], times)
    return figures


def _run(way: Way, pauses: list[float], times: list[float]) -> Figures:
    started_at = time.perf_counter()
    client_cpu, server_cpu = _cpu_s(), way.server_cpu_s()
    for number, pause_s in enumerate(pauses):
        if pause_s:
            time.sleep(pause_s)
        before = time.perf_counter()
        way.call(number)
        times.append(time.perf_counter() - before)
    took_s = time.perf_counter() - started_at
    count = len(pauses)
    return Figures(
        0.0,
        0.0,
        (_cpu_s() - client_cpu) * 1_000 / count,
        (way.server_cpu_s() - server_cpu) * 1_000 / count,
        count / took_s,
    )


def _merged(samples: list[Figures], times: list[float]) -> Figures:
    cuts = statistics.quantiles(times, n=100)
    return Figures(
        round(cuts[49] * 1_000, 4),
        round(cuts[98] * 1_000, 4),
        round(statistics.fmean(item.cpu_ms_client for item in samples), 4),
        round(statistics.fmean(item.cpu_ms_server for item in samples), 4),
        round(statistics.fmean(item.calls_per_s for item in samples), 1),
    )


def _as_json(figures: dict[str, Figures]) -> dict[str, Any]:
    return {name: asdict(item) for name, item in figures.items()}


@contextmanager
def _server(way: str) -> Iterator[tuple[int, Callable[[], float]]]:
    """Run the serving process; yield its port and its processor seconds."""
    command = [sys.executable, "-m", "bench.hop", "--serve", way]
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
def _bare() -> Iterator[Way]:
    """Call over one blocking socket between two threads: the floor."""
    body = bytes(BODY_BYTES)
    with _server("bare") as (port, cpu_s):
        with socket.create_connection((HOST, port)) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def call(_number: int) -> None:
                sock.sendall(body)
                _read(sock)

            yield Way(call, cpu_s)


@contextmanager
def _stream(served: str) -> Iterator[Way]:
    """Call over a peer stream, answered by a worker or by the link's own thread."""
    body = bytes(BODY_BYTES)
    with _server(served) as (port, cpu_s), _link("client") as link:
        peer = PeerAddress(HOST, port)

        def call(number: int) -> None:
            ask = HopAsk(number, body)
            answer = link.request(peer, ask, timeout_s=TIMEOUT_S).result()
            if not isinstance(answer, HopTell):
                raise RuntimeError(f"no answer: {answer}")

        yield Way(call, cpu_s)


def _link(name: str) -> PeerStreams:
    return PeerStreams(
        PeerIdentity(name, 1, "bench"),
        PeerAddress(HOST, 0),
        PeerStreamOptions(),
        secrets=(SECRET,),
    )


def _serve(way: str) -> int:
    if way == "bare":
        with socket.create_server((HOST, 0)) as listener, ThreadPoolExecutor(1) as pool:
            print(listener.getsockname()[1], flush=True)
            pool.submit(_serve_bare, listener)
            _report()
        return 0
    link = _link("server")
    with ThreadPoolExecutor(WORKERS) as pool:

        def answer(item: HopAsk, responder: Responder) -> None:
            responder.answer(HopTell(item.number, item.body))

        def handle(_: PeerIdentity, item: HopAsk, responder: Responder) -> None:
            if way == "inline":
                answer(item, responder)
            else:
                pool.submit(answer, item, responder)

        link.register(HopAsk, handle)
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
    """Answer each line on stdin with the processor seconds so far."""
    for _ in sys.stdin:
        print(_cpu_s(), flush=True)


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    sys.exit(main())
