#!/usr/bin/env python3
"""Runs the flow path as real processes on loopback addresses and checks what
clients and servers observe.

usage: run.py BUILD [--seed N] [--only NAME]
"""

import argparse
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins import Client, Server, Store, to_number

DATA_PORT, PEER_PORT, READINESS_PORT, CONTROL_PORT, OUTBOUND_PORT, SERVER_PORT = (
    8172, 7720, 8167, 8166, 8162, 8165)
SERVICE_ADDRESS = ("198.18.0.1", 8080)
OTHER_ADDRESS = ("198.18.0.1", 8443)
UNROUTED_ADDRESS = ("198.18.0.1", 9999)


class Failure(Exception):
    """A check failed."""


def expect(condition, text):
    if not condition:
        raise Failure(text)


class Site:
    """Balancers, agents with servers, a store and a client in a random loopback
    network of their own."""

    def __init__(self, build, folder, extra_settings="", balancers=2, servers=3):
        self.extra_settings = extra_settings
        self.network_prefix = (
            f"127.{random.randrange(80, 120)}.{random.randrange(256)}.")
        self.build, self.folder = build, folder
        self.store_address = (self.network_prefix + "200", 8169)
        self.store = Store(self.store_address)
        self.processes, self.servers = {}, {}
        self.started_ms, self.reports = {}, {}
        self.routes = {8080: "desk", 8443: "parts"}
        self.version = 0
        self.publish_routes()
        for index in range(servers):
            service = "parts" if index == servers - 1 else "desk"
            self.start_server(index, service)
            self.start(f"agent-{index}", self.agent_settings(index, service))
        for index in range(balancers):
            self.start(f"balancer-{index}", self.balancer_settings(index))
        addresses = [(self.host(f"balancer-{i}"), DATA_PORT)
                     for i in range(balancers)]
        self.client = Client(self.network_prefix + "250", addresses, DATA_PORT)
        for name in self.processes:
            self.wait_ready(name)

    def host(self, name):
        role, index = name.split("-")
        return self.network_prefix + str(
            (10 if role == "balancer" else 30) + int(index))

    def common_settings(self, name):
        host = self.host(name)
        return (f'name: "{name}"\nzone: "z"\ndata: "{host}:{DATA_PORT}"\n'
                f'peer: "{host}:{PEER_PORT}"\n'
                f'readiness: "{host}:{READINESS_PORT}"\n'
                "metrics_port: 9464\nfirst_start: true\n" + self.extra_settings)

    def balancer_settings(self, index, seeds=(0, 1)):
        control = self.host(f"balancer-{index}")
        seed_list = ", ".join(f'"{self.host(f"balancer-{i}")}:{CONTROL_PORT}"'
                              for i in seeds)
        store = f"{self.store_address[0]}:{self.store_address[1]}"
        return (self.common_settings(f"balancer-{index}") +
                f'store: "{store}"\ncontrol: "{control}:{CONTROL_PORT}"\n'
                f"seeds: [{seed_list}]\n")

    def agent_settings(self, index, service):
        host = self.host(f"agent-{index}")
        return (self.common_settings(f"agent-{index}") +
                f'service: "{service}"\n'
                f'server: "{host}:{SERVER_PORT}"\n'
                f'outbound: "{host}:{OUTBOUND_PORT}"\n')

    def start_server(self, index, service):
        host = self.host(f"agent-{index}")
        name = f"s{index}"
        self.servers[index] = Server((host, SERVER_PORT), (host, OUTBOUND_PORT),
                                     name)
        self.started_ms[index], self.reports[index] = int(time.time() * 1000), 0
        self.publish_server(index, service, "ready")

    def publish_server(self, index, service, state):
        self.reports[index] += 1
        self.store.put(f"servers/s{index}", {
            "service": service,
            "address": f"{self.host(f'agent-{index}')}:{SERVER_PORT}",
            "zone": f"z{index}", "version": "v1", "slots": 7, "state": state,
            "coldRemainingMs": 0, "seq": self.reports[index],
            "born": self.started_ms[index]})

    def publish_routes(self):
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

    def get(self, name, path, port=READINESS_PORT):
        connection = http.client.HTTPConnection(self.host(name), port, timeout=2)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except OSError:
            return 0, ""
        finally:
            connection.close()

    def wait_ready(self, name, timeout_s=5):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.get(name, "/readiness")[0] == 200:
                return
            time.sleep(0.05)
        raise Failure(f"{name} is not ready after {timeout_s} s")

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
    """Packets of a flow pass through any balancer and reach the service of its
    address; flows to an address without a route are refused at once."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(20)]
    expect(all(flows), "a flow was not accepted")
    for repetition in range(3):
        for flow in flows:
            answer = flow.exchange(f"ask {repetition}".encode())
            expect(answer and answer != "reset", f"flow received {answer}")
            expect(not answer.startswith("s2"), "answer of the wrong service")
    expect(site.client.open(OTHER_ADDRESS).exchange(b"x").startswith("s2"),
           "the service parts is not served by s2")
    started_at = time.monotonic()
    expect(site.client.open(UNROUTED_ADDRESS) is None,
           "flow to an address without a route was accepted")
    expect(time.monotonic() - started_at < 0.5, "refusal took 0.5 s or longer")
    status, text = site.get("balancer-0", "/metrics", 9464)
    expect(status == 200 and "cactuscross_flow_events" in text,
           "/metrics does not return the flow metrics")


def balancer_is_replaced(site):
    """After SIGTERM, a balancer reports at once that it is not ready, but
    forwards packets until it exits with 0. No flow breaks."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(10)]
    site.signal("balancer-0", signal.SIGTERM)
    time.sleep(0.3)
    expect(site.get("balancer-0", "/readiness")[0] == 503,
           "balancer is still ready after SIGTERM")
    for flow in flows:
        expect(flow.exchange(b"while stopping") not in (None, "reset"),
               "flow broke")
    expect(site.processes["balancer-0"].wait(6) == 0,
           "balancer did not exit with 0")
    site.start("balancer-0")
    site.wait_ready("balancer-0")
    for flow in flows:
        expect(flow.exchange(b"after") not in (None, "reset"), "flow broke")


def agent_is_killed(site):
    """The flows of a server continue after a crash and restart of its agent."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(10)]
    site.signal("agent-0", signal.SIGKILL)
    site.processes["agent-0"].wait()
    site.start("agent-0", site.agent_settings(0, "desk").replace(
        "first_start: true", "first_start: false"))
    site.wait_ready("agent-0")
    for flow in flows:
        expect(flow.exchange(b"go on", attempts=5) not in (None, "reset"),
               "flow broke")


def flow_at(site, name):
    """Returns an open flow that the server `name` holds."""
    for _ in range(40):
        flow = site.client.open(SERVICE_ADDRESS)
        if flow and flow.exchange(b"who").startswith(name):
            return flow
    raise Failure(f"no flow at {name}")


def agent_stops_under_load(site):
    """After SIGTERM, an agent delivers the answers to the requests in progress
    and exits with 0. New flows go to another server meanwhile."""
    flow = flow_at(site, "s0")
    site.servers[0].service_time_s = 0.8
    flow.send(b"in progress")
    time.sleep(0.2)
    site.signal("agent-0", signal.SIGTERM)
    time.sleep(0.1)
    other = Client(site.network_prefix + "251", site.client.balancers, DATA_PORT)
    for _ in range(4):
        new = other.open(SERVICE_ADDRESS)
        expect(new and new.exchange(b"new").startswith("s1"),
               "new flow is not served by s1")
    packet = site.client.receive(flow, 1.5)
    expect(packet is not None and packet.data.endswith(b"in progress"),
           "the request in progress was cut off")
    expect(site.processes["agent-0"].wait(4) == 0, "agent did not exit with 0")


def wrong_service_notice(flow):
    """Encodes a FlowNotice of the kind kWrongService for `flow` whose packet is
    too short."""
    (client, client_port), (service, service_port) = flow.source, flow.service

    def varint(number):
        encoded = b""
        while number > 127:
            encoded += bytes([number & 127 | 128])
            number >>= 7
        return encoded + bytes([number])

    return (b"\x08\x06" + b"\x1d" + to_number(client).to_bytes(4, "little") +
            b"\x20" + varint(client_port) + b"\x2d" +
            to_number(service).to_bytes(4, "little") + b"\x30" +
            varint(service_port) + b"\x52\x01\xff" + b"\x5d\x01\0\0\0")


def hostile_datagrams(site):
    """Malformed datagrams and HTTP requests stop no process and break no
    flow."""
    flow = flow_at(site, "s0")
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind((site.host("agent-0"), 0))
    notice = wrong_service_notice(flow)
    for name in site.processes:
        host = site.host(name)
        for port in (DATA_PORT, PEER_PORT, CONTROL_PORT, OUTBOUND_PORT):
            for _ in range(200):
                changed = bytearray(notice)
                changed[random.randrange(len(changed))] = random.randrange(256)
                for datagram in (notice, bytes(changed), b"",
                                 random.randbytes(random.randrange(1500))):
                    sender.sendto(datagram, (host, port))
        with socket.create_connection((host, READINESS_PORT)) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nContent-Length: 9999999999"
                               b"999999999\r\n\r\n" + random.randbytes(3000))
    time.sleep(0.5)
    for name, process in site.processes.items():
        expect(process.poll() is None, f"{name} has ended")
        site.wait_ready(name)
    expect(flow.exchange(b"x") not in (None, "reset"), "flow broke")
    expect(site.client.open(SERVICE_ADDRESS) is not None, "not served")


def server_dies(site):
    """Flows of a failed server are reset soon; new flows go to another one."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(12)]
    names = {flow: flow.exchange(b"who").split(":")[0] for flow in flows}
    site.servers[0].stop()
    started_at = time.monotonic()
    for flow, name in names.items():
        if name == "s0":
            expect(flow.exchange(b"gone") == "reset",
                   "flow of a failed server was not reset")
    expect(time.monotonic() - started_at < 3, "resets took 3 s or longer")
    for _ in range(6):
        flow = site.client.open(SERVICE_ADDRESS)
        expect(flow and flow.exchange(b"new").startswith("s1"),
               "new flow is not served by s1")
    expect('"server_down"' in site.log("agent-0"),
           "agent did not log server_down")


def restart_without_store(site):
    """A balancer that starts while the store is down gets its routes and servers
    from its peers."""
    site.store.down = True
    site.signal("balancer-1", signal.SIGKILL)
    site.processes["balancer-1"].wait()
    site.start("balancer-1")
    site.wait_ready("balancer-1")
    for _ in range(8):
        flow = site.client.open(SERVICE_ADDRESS)
        expect(flow and flow.exchange(b"x") not in (None, "reset"),
               "not served")
    site.store.down = False


def routes_and_drain(site):
    """A removed route is not served, a new one is. A draining server gets no
    new flows. An entry that cannot be decoded is ignored and logged."""
    site.store.put("servers/odd", b"\xff\xfe not json")
    site.publish_server(0, "desk", "draining")
    del site.routes[8443]
    site.routes[9000] = "parts"
    site.publish_routes()
    time.sleep(1.0)
    before = site.servers[0].openings
    for _ in range(8):
        expect(site.client.open(SERVICE_ADDRESS) is not None, "not served")
    expect(site.servers[0].openings == before, "draining server got a new flow")
    expect(site.client.open(OTHER_ADDRESS) is None, "removed route is served")
    flow = site.client.open(("198.18.0.1", 9000))
    expect(flow and flow.exchange(b"x").startswith("s2"),
           "new route is not served")
    logs = site.log("balancer-0") + site.log("balancer-1")
    expect('"entry_unreadable"' in logs, "no balancer logged entry_unreadable")


def store_is_restored(site):
    """The store comes back from a copy made before a drain and a change of the
    routes. Neither is undone, and later changes are noticed although their
    revisions have been used before."""
    copy = site.store.copy()
    site.publish_server(0, "desk", "draining")
    site.routes[9000] = "parts"
    site.publish_routes()
    time.sleep(1.0)
    flow = site.client.open(SERVICE_ADDRESS)
    before = site.servers[0].openings
    site.store.down = True
    time.sleep(0.4)
    site.store.restore(copy)
    site.store.down = False
    time.sleep(1.0)
    for _ in range(8):
        expect(site.client.open(SERVICE_ADDRESS) is not None, "not served")
    expect(site.servers[0].openings == before, "draining server got a new flow")
    expect(site.client.open(("198.18.0.1", 9000)) is not None,
           "routes went back to an older version")
    expect(flow.exchange(b"x") not in (None, "reset"), "flow was cut")
    expect(any('"store_restored"' in site.log(name)
               for name in ("balancer-0", "balancer-1")),
           "no balancer logged store_restored")
    site.publish_server(0, "desk", "draining")
    site.routes[9001] = "parts"
    site.publish_routes()
    time.sleep(1.5)
    expect(site.client.open(("198.18.0.1", 9001)) is not None,
           "change after the restart of the store was not noticed")


def reused_revisions_are_noticed(site):
    """After the store has come back from a copy, a server drains at a revision
    below that of its last entry. It gets no new flows."""
    copy = site.store.copy()
    for _ in range(5):
        site.publish_server(0, "desk", "ready")
    time.sleep(1.0)
    site.store.down = True
    time.sleep(0.4)
    site.store.restore(copy)
    site.store.down = False
    time.sleep(1.0)
    site.publish_server(0, "desk", "draining")
    time.sleep(1.0)
    before = site.servers[0].openings
    for _ in range(8):
        expect(site.client.open(SERVICE_ADDRESS) is not None, "not served")
    expect(site.servers[0].openings == before, "draining server got a new flow")


def settings_change(site):
    """Settings are reloaded after SIGHUP. An invalid file, which is detected
    without a signal, is rejected and changes nothing."""
    path = site.folder / "balancer-0.yaml"
    path.write_text(site.balancer_settings(0, seeds=(1,)))
    site.signal("balancer-0", signal.SIGHUP)
    time.sleep(0.3)
    expect('"settings_reloaded"' in site.log("balancer-0"),
           "settings were not reloaded after SIGHUP")
    path.write_text("name: 5\nnonsense: 1\n")
    time.sleep(1.5)
    expect('"settings_rejected"' in site.log("balancer-0"),
           "invalid settings were not rejected")
    flow = site.client.open(SERVICE_ADDRESS)
    expect(flow and flow.exchange(b"x") not in (None, "reset"), "not served")


def crash_is_logged(site):
    """A process that ends by a fault logs the signal and its stack, and still
    ends by that signal."""
    for name in ("balancer-0", "agent-0"):
        process = site.processes[name]
        site.signal(name, signal.SIGSEGV)
        expect(process.wait(timeout=5) == -signal.SIGSEGV,
               f"{name} did not end by SIGSEGV")
        line = json.loads(site.log(name).splitlines()[-1])
        expect(line["message"] == "crashed" and line["node"] == name,
               f"{name} did not log its crash")
        expect(line["fields"]["signal"] == signal.SIGSEGV,
               f"{name} logged another signal")
        expect(len(line["fields"]["stack"]) > 3, f"{name} logged no stack")


def foreign_entry_on_a_host(site):
    """Another program registers itself on the host of a server, under a service
    that no route names. The flows of the server go on when they reach a balancer
    that does not know them, and new ones go to it."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(20)]
    expect(all(flows), "a flow was not accepted")
    site.store.put("servers/exporter", {
        "service": "node-exporter", "address": f"{site.host('agent-0')}:9100",
        "zone": "z0", "version": "1", "slots": 1, "state": "ready",
        "coldRemainingMs": 0, "seq": 1, "born": int(time.time() * 1000)})
    time.sleep(1.0)
    site.signal("balancer-0", signal.SIGTERM)
    site.processes["balancer-0"].wait(6)
    site.start("balancer-0")
    site.wait_ready("balancer-0")
    for flow in flows:
        expect(flow.exchange(b"go on") not in (None, "reset"), "flow broke")
    flow_at(site, "s0")


def open_again(site, flow):
    """Opens a flow from the port of `flow`, which its server has forgotten."""
    for server in site.servers.values():
        server.flows.pop((flow.source, flow.service), None)
    site.client.next_port = flow.source[1] - 1
    again = site.client.open(SERVICE_ADDRESS)
    expect(again is not None, "a flow from a port used before was not accepted")
    return again


def port_is_used_again(site):
    """New flows from a port used before are whole on any balancer, and go to a
    server of the route that is not leaving."""
    flow = site.client.open(SERVICE_ADDRESS)
    for _ in range(10):
        name = flow.exchange(b"first")[:2]
        for _ in range(4):
            answer = flow.exchange(b"next")
            expect(answer and answer.startswith(name), f"flow got {answer}")
        flow = open_again(site, flow)
    flow = flow_at(site, "s0")
    site.publish_server(0, "desk", "draining")
    time.sleep(1.0)
    flow = open_again(site, flow)
    expect(flow.exchange(b"x").startswith("s1"), "leaving server got a flow")
    site.routes[8080] = "parts"
    site.publish_routes()
    time.sleep(1.0)
    flow = open_again(site, flow)
    expect(flow.exchange(b"x").startswith("s2"), "served by the old service")


def zone_is_evacuated(site):
    """An order whose value is no JSON keeps new flows from the zone, also after
    its agent has restarted; open flows continue. Without a zone left, openings
    are refused at once."""
    flows = [site.client.open(SERVICE_ADDRESS) for _ in range(12)]
    site.store.put("op/evacuate/z0", b"\xff no json")
    time.sleep(1.0)
    expect('cactuscross_flow_zone_evacuated{zone="z0"} 1' in
           site.get("balancer-1", "/metrics", 9464)[1],
           "the metrics do not show the evacuated zone")
    expect('"zone_evacuated"' in site.log("agent-0"), "agent was not told")
    before = site.servers[0].openings
    for flow in flows:
        expect(flow.exchange(b"still") not in (None, "reset"), "flow broke")
    site.signal("agent-0", signal.SIGKILL)
    site.processes["agent-0"].wait()
    site.start("agent-0")
    site.wait_ready("agent-0")
    for _ in range(12):
        expect(site.client.open(SERVICE_ADDRESS) is not None, "not served")
    expect(site.servers[0].openings == before, "evacuated zone got a new flow")
    site.store.put("op/evacuate/z1", {})
    time.sleep(1.0)
    started_at = time.monotonic()
    expect(site.client.open(SERVICE_ADDRESS) is None,
           "flow was accepted although all zones are evacuated")
    expect(time.monotonic() - started_at < 0.5, "refusal took 0.5 s or longer")
    site.store.delete("op/evacuate/z0")
    time.sleep(1.0)
    expect(site.client.open(SERVICE_ADDRESS).exchange(b"x").startswith("s0"),
           "the zone did not return")


# Settings of all processes of a scenario, in addition to the usual ones.
EXTRA_SETTINGS = {zone_is_evacuated: "evacuation_bound_ms: 5000\n"}

SCENARIOS = [flows_are_whole, balancer_is_replaced, agent_is_killed,
             agent_stops_under_load, hostile_datagrams, server_dies,
             restart_without_store, routes_and_drain, store_is_restored,
             reused_revisions_are_noticed, settings_change, zone_is_evacuated,
             foreign_entry_on_a_host, port_is_used_again, crash_is_logged]


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
                site = Site(options.build.resolve(), pathlib.Path(folder),
                            EXTRA_SETTINGS.get(scenario, ""))
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
