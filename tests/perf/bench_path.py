#!/usr/bin/env python3
"""Compares balancer and agent on loopback with plain UDP relays of the same hop count.

usage: bench_path.py BUILD [--requests N] [--rounds N] [--binary PATH]

Bare:   caller - relay - echo. Both only forward datagrams.
Ticket: caller - balancer - agent. The agent answers a POST itself (4.01 with an admission ticket).
Server: the same processes and a GET that the backend server stand-in answers.

Prints medians over the rounds: answers per second with 16 requests in flight, p50
and p99 latency with one request in flight, p99 latency with 16 in flight, and CPU
time per request of the two processes between caller and server. The last column is
the added latency compared with the bare path.
"""

import argparse
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time
import urllib.error
import urllib.request

NETWORK = "127.88.0"
SERVICE = NETWORK + ".1:5683"
BALANCER = NETWORK + ".2"
AGENT = NETWORK + ".3"
SERVER = NETWORK + ".4:8000"
PLATFORM = NETWORK + ".5:8500"
RELAY = NETWORK + ".6:5683"
ECHO = NETWORK + ".7:5683"
START_TIMEOUT_S = 15
WINDOW = 16  # requests in flight under load
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

CONTRACT = f"""customer: bench
services:
  - name: path
    addresses: ["{SERVICE}"]
    servers:
      - {{node: 11, zone: one, agent: "{AGENT}:7000", slots: 1000, connections: 100, state: serving}}
    limits: {{request_rate: 1000000, request_burst: 1000000, requests_in_flight: 1000,
      sessions: 100, body_bytes: 65536, queue_time_ms: 500, deadline_ms: 5000}}
"""

NODE = """node: {node}
zone: one
listen: "{address}:7000"
operations: "{address}:9000"
platform: ["{platform}"]
seeds:
  - {{node: 1, role: balancer, zone: one, address: "{balancer}:7000"}}
"""


class Bench:
    """Starts the processes of all paths, sends load and measures."""

    def __init__(self, options):
        self.build = pathlib.Path(options.build).resolve()
        self.binary = options.binary or self.build / "cactuscross"
        self.program = self.build / "tests/perf/cactuscross_path_bench"
        self.folder = self.build / "bench-path"
        self.folder.mkdir(exist_ok=True)
        self.processes = {}

    def spawn(self, name, *command):
        log = open(self.folder / (name + ".log"), "wb")
        arguments = [str(part) for part in command]
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=subprocess.STDOUT)

    def start(self):
        standin = self.build / "tests/standin/cactuscross_standin"
        self.spawn("relay", self.program, "relay", RELAY, ECHO)
        self.spawn("echo", self.program, "echo", ECHO)
        self.spawn("platform", standin, "platform", "--listen", PLATFORM)
        self.spawn("server", standin, "server", "--name", "server", "--service", "bench/path", "--listen", SERVER,
                   "--slots", 1000, "--root", "path", "--log", self.folder / "executions", "--service-ms", 1)
        self.put("/v1/contracts/bench", CONTRACT)
        self.start_node("balancer", 1, BALANCER, "")
        self.start_node("agent", 11, AGENT, f'service: bench/path\nserver: "{SERVER}"\n')

    def start_node(self, role, node, address, extra):
        settings = self.folder / (role + ".yaml")
        text = NODE.format(node=node, address=address, platform=PLATFORM, balancer=BALANCER)
        settings.write_text(text + extra)
        self.spawn(role, self.binary, role, "--settings", settings)

    def put(self, path, body):
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                request = urllib.request.Request(f"http://{PLATFORM}{path}", body.encode(), method="PUT")
                return urllib.request.urlopen(request, timeout=2).read()
            except (urllib.error.URLError, OSError):
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.05)

    def load(self, target, method, requests, window):
        command = [str(self.program), "load", target, method, "path/1", str(requests), str(window)]
        return json.loads(subprocess.run(command, capture_output=True, check=True).stdout)

    def wait_serving(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        while "2.5" not in self.load(SERVICE, "get", 1, 1)["codes"]:
            if time.monotonic() > deadline:
                raise SystemExit("bench_path: %s did not answer 2.05 within %d s" % (SERVICE, START_TIMEOUT_S))
            time.sleep(0.2)

    def cpu_seconds(self, names):
        total = 0
        for name in names:
            stat = pathlib.Path(f"/proc/{self.processes[name].pid}/stat").read_text()
            fields = stat.rsplit(")", 1)[1].split()
            # utime and stime, see proc(5)
            total += int(fields[11]) + int(fields[12])
        return total / TICKS_PER_SECOND

    def measure(self, row, requests):
        unloaded = self.load(row["target"], row["method"], max(1, requests // 10), 1)
        cpu_before = self.cpu_seconds(row["middle"])
        loaded = self.load(row["target"], row["method"], requests, WINDOW)
        cpu = self.cpu_seconds(row["middle"]) - cpu_before
        for result in (unloaded, loaded):
            if result["lost"] or list(result["codes"]) != [row["code"]]:
                print(f"bench_path: {row['name']}: lost {result['lost']}, codes {result['codes']}")
        return {"per_second": loaded["per_second"], "p50": unloaded["p50_us"], "p99": unloaded["p99_us"],
                "busy_p99": loaded["p99_us"], "cpu": cpu * 1e6 / requests}

    def close(self):
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(25)
            except subprocess.TimeoutExpired:
                process.kill()


# `middle` names the processes whose CPU time is measured; `share` is the fraction of
# the number --requests that is sent per round.
ROWS = (
    {"name": "bare", "target": RELAY, "method": "post", "code": "0.2", "middle": ("relay", "echo"), "share": 1},
    {"name": "ticket", "target": SERVICE, "method": "post", "code": "4.1", "middle": ("balancer", "agent"), "share": 1},
    {"name": "server", "target": SERVICE, "method": "get", "code": "2.5", "middle": ("balancer", "agent"), "share": 0.1},
)


def median(results, key):
    return statistics.median(result[key] for result in results)


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("build")
    parser.add_argument("--requests", type=int, default=30000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--binary")
    options = parser.parse_args()
    bench = Bench(options)
    results = {row["name"]: [] for row in ROWS}
    try:
        bench.start()
        bench.wait_serving()
        for _ in range(options.rounds):
            for row in ROWS:
                results[row["name"]].append(bench.measure(row, int(options.requests * row["share"])))
    finally:
        bench.close()
    print("path      answers/s  p50 us  p99 us  p99 us (16 open)  cpu us/request  added p50/p99 us")
    for row in ROWS:
        name = row["name"]
        values = {key: median(results[name], key) for key in ("per_second", "p50", "p99", "busy_p99", "cpu")}
        added = "%d/%d" % (values["p50"] - median(results["bare"], "p50"), values["p99"] - median(results["bare"], "p99"))
        print("%-8s %10d %7d %7d %17d %15.1f  %s" % (name, values["per_second"], values["p50"], values["p99"],
                                                   values["busy_p99"], values["cpu"], added))


if __name__ == "__main__":
    sys.exit(main())
