#!/usr/bin/env python3
"""Runs the flow path as real processes on loopback and judges what clients and
servers see.

usage: run.py BUILD [--seed N] [--only NAME]
"""

import argparse
import http.client
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from standins import Client, Server, Store

DATA, PEER, READY, CONTROL, OUTBOUND, APP = 8172, 7720, 8167, 8166, 8162, 8165
SERVICE_ADDRESS = ("198.18.0.1", 8080)
OTHER_ADDRESS = ("198.18.0.1", 8443)
NO_ADDRESS = ("198.18.0.1", 9999)


class Failure(Exception):
    """Something was seen that must not be."""


def expect(condition, text):
    if not condition:
        raise Failure(text)


class Site:
    """Balancers, agents with servers, a store and a client, on addresses of a
    loopback network of its own."""

    def __init__(self, build, folder, balancers=2, servers=3):
        self.net = f"127.{random.randrange(80, 120)}.{random.randrange(256)}."
        self.build, self.folder = build, folder
        self.store_address = (self.net + "200", 8169)
        self.store = Store(self.store_address)
        self.processes, self.servers = {}, {}
        self.routes = {8080: "desk", 8443: "parts"}
        self.version = 0
        self.put_routes()
        for index in range(servers):
            service = "parts" if index == servers - 1 else "desk"
            self.start_server(index, service)
            self.start(f"agent-{index}", self.agent_settings(index, service))
        for index in range(balancers):
            self.start(f"balancer-{index}", self.balancer_settings(index))
        addresses = [(self.host(f"balancer-{i}"), DATA) for i in range(balancers)]
        self.client = Client(self.net + "250", addresses, DATA)
        for name in self.processes:
            self.wait_ready(name)

    def host(self, name):
        role, index = name.split("-")
        return self.net + str((10 if role == "balancer" else 30) + int(index))

    def common(self, name):
        host = self.host(name)
        return (f'name: "{name}"\nzone: "z"\ndata: "{host}:{DATA}"\n'
                f'peer: "{host}:{PEER}"\nreadiness: "{host}:{READY}"\n'
                "metrics_port: 9464\nfirst_start: true\n")

    def balancer_settings(self, index, seeds=(0, 1)):
        control = self.host(f"balancer-{index}")
        listed = ", ".join(f'"{self.host(f"balancer-{i}")}:{CONTROL}"'
                           for i in seeds)
        store = f"{self.store_address[0]}:{self.store_address[1]}"
        return (self.common(f"balancer-{index}") +
                f'store: "{store}"\ncontrol: "{control}:{CONTROL}"\n'
                f"seeds: [{listed}]\n")

    def agent_settings(self, index, service):
        host = self.host(f"agent-{index}")
        return (self.common(f"agent-{index}") + f'service: "{service}"\n'
                f'server: "{host}:{APP}"\noutbound: "{host}:{OUTBOUND}"\n')

    def start_server(self, index, service):
        host = self.host(f"agent-{index}")
        name = f"s{index}"
        self.servers[index] = Server((host, APP), (host, OUTBOUND), name)
        self.list_server(index, service, "ready")

    def list_server(self, index, service, state):
        self.store.put(f"servers/s{index}", {
            "service": service, "address": f"{self.host(f'agent-{index}')}:{APP}",
            "zone": "z", "version": "v1", "slots": 7, "state": state,
            "coldRemainingMs": 0, "seq": 1, "born": int(time.time() * 1000)})

    def put_routes(self):
        self.version += 1
        self.store.put("op/config", {
            "version": self.version, "limits": {"idleTimeoutMs": 15000},
            "routes": [{"name": f"r{port}", "host": "198.18.0.1",
                        "prefix": f"/{port}/", "service": service}
                       for port, service in self.routes.items()]})

    def start(self, name, settings=None):
        path = self.folder / f"{name}.yaml"
        if settings is not None:
            path.write_text(settings)
        log = open(self.folder / f"{name}.log", "ab")  # pylint: disable=R1732
        command = "flow-" + name.split("-")[0]
        self.processes[name] = subprocess.Popen(
            [str(self.build / "cactuscross"), command], stdout=log, stderr=log,
            env={**os.environ, "CACTUSCROSS_SETTINGS": str(path)})

    def get(self, name, path, port=READY):
        connection = http.client.HTTPConnection(self.host(name), port, timeout=2)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except OSError:
            return 0, ""
        finally:
            connection.close()

    def wait_ready(self, name, wait=5):
        deadline = time.monotonic() + wait
        while time.monotonic() < deadline:
            if self.get(name, "/readiness")[0] == 200:
                return
            time.sleep(0.05)
        raise Failure(f"{name} is not ready after {wait} s")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers.values():
            server.stop()
        self.store.server.shutdown()


def flows_are_whole(site):
    """Long flows through any balancer, services kept apart, routes that do not
    exist refused at once."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(20)]
    expect(all(flows), "an opening was not granted")
    for turn in range(3):
        for flow in flows:
            answer = flow.ask(f"ask {turn}".encode())
            expect(answer and answer != "reset", f"flow answered {answer}")
            expect(not answer.startswith("s2"), "wrong service")
    expect(site.client.open(OTHER_ADDRESS).ask(b"x").startswith("s2"),
           "parts are not served by s2")
    begin = time.monotonic()
    expect(site.client.open(NO_ADDRESS) is None, "route does not exist")
    expect(time.monotonic() - begin < 0.5, "refusal took long")
    status, text = site.get("balancer-0", "/metrics", 9464)
    expect(status == 200 and "cactuscross_flow_events" in text, "no metrics")


def balancer_is_replaced(site):
    """SIGTERM: not ready at once, forwards on, exits with 0; no flow breaks."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(10)]
    site.signal("balancer-0", signal.SIGTERM)
    time.sleep(0.3)
    expect(site.get("balancer-0", "/readiness")[0] == 503, "still ready")
    for flow in flows:
        expect(flow.ask(b"while stopping") not in (None, "reset"), "flow broke")
    expect(site.processes["balancer-0"].wait(6) == 0, "exit code")
    site.start("balancer-0")
    site.wait_ready("balancer-0")
    for flow in flows:
        expect(flow.ask(b"after") not in (None, "reset"), "flow broke")


def agent_is_killed(site):
    """Its server's flows go on after its restart."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(10)]
    site.signal("agent-0", signal.SIGKILL)
    site.processes["agent-0"].wait()
    site.start("agent-0", site.agent_settings(0, "desk").replace(
        "first_start: true", "first_start: false"))
    site.wait_ready("agent-0")
    for flow in flows:
        expect(flow.ask(b"go on", tries=5) not in (None, "reset"), "flow broke")


def server_dies(site):
    """Flows are reset soon and new ones go elsewhere."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(12)]
    names = {flow: flow.ask(b"who").split(":")[0] for flow in flows}
    site.servers[0].stop()
    begin = time.monotonic()
    for flow, name in names.items():
        if name == "s0":
            expect(flow.ask(b"gone") == "reset", "flow of a dead server hangs")
    expect(time.monotonic() - begin < 3, "resets took long")
    for _ in range(6):
        flow = site.client.open(SERVICE_ADDRESS)
        expect(flow and flow.ask(b"new").startswith("s1"), "not served by s1")
    expect('"server_down"' in site.log("agent-0"), "no line server_down")


def restart_without_store(site):
    """A balancer that starts while the store is away lives by its peers."""
    site.store.down = True
    site.signal("balancer-1", signal.SIGKILL)
    site.processes["balancer-1"].wait()
    site.start("balancer-1")
    site.wait_ready("balancer-1")
    for _ in range(8):
        flow = site.client.open(SERVICE_ADDRESS)
        expect(flow and flow.ask(b"x") not in (None, "reset"), "not served")
    site.store.down = False


def routes_and_drain(site):
    """A removed route ends, a new one begins; a leaving server gets nothing; an
    entry that cannot be read names no server."""
    site.store.put("servers/odd", b"\xff\xfe not json")
    site.list_server(0, "desk", "draining")
    del site.routes[8443]
    site.routes[9000] = "parts"
    site.put_routes()
    time.sleep(1.0)
    before = site.servers[0].openings
    for _ in range(8):
        expect(site.client.open(SERVICE_ADDRESS) is not None, "not served")
    expect(site.servers[0].openings == before, "leaving server got an opening")
    expect(site.client.open(OTHER_ADDRESS) is None, "removed route is served")
    flow = site.client.open(("198.18.0.1", 9000))
    expect(flow and flow.ask(b"x").startswith("s2"), "new route is not served")
    logs = site.log("balancer-0") + site.log("balancer-1")
    expect('"entry_unreadable"' in logs, "no line entry_unreadable")


def settings_change(site):
    """With a signal and without; a bad file changes nothing."""
    path = site.folder / "balancer-0.yaml"
    path.write_text(site.balancer_settings(0, seeds=(1,)))
    site.signal("balancer-0", signal.SIGHUP)
    time.sleep(0.3)
    expect('"settings_reloaded"' in site.log("balancer-0"), "not reloaded")
    path.write_text("name: 5\nnonsense: 1\n")
    time.sleep(1.5)
    expect('"settings_rejected"' in site.log("balancer-0"), "not rejected")
    flow = site.client.open(SERVICE_ADDRESS)
    expect(flow and flow.ask(b"x") not in (None, "reset"), "not served")


SCENARIOS = [flows_are_whole, balancer_is_replaced, agent_is_killed, server_dies,
             restart_without_store, routes_and_drain, settings_change]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only")
    options = parser.parse_args()
    failed = 0
    chosen = [s for s in SCENARIOS if options.only in (None, s.__name__)]
    for scenario in chosen:
        random.seed(f"{options.seed} {scenario.__name__}")
        with tempfile.TemporaryDirectory() as folder:
            site = None
            try:
                site = Site(options.build.resolve(), pathlib.Path(folder))
                scenario(site)
                print(f"ok {scenario.__name__}")
            except Failure as failure:
                failed += 1
                print(f"FAILED {scenario.__name__}: {failure}")
                for log in sorted(pathlib.Path(folder).glob("*.log")):
                    print(f"--- {log.name}\n" + log.read_text()[-1500:])
            finally:
                if site is not None:
                    site.stop()
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
