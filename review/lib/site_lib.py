"""A small site for the review's scripts: a store, servers, routers and clients
as stand-ins on loopback addresses, and the project's own programs, started with
the commands and templates of the deploy file.

The store and the packet format are the project's own stand-ins
(tests/flow_processes/standins.py)."""

import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "flow_processes"))

# pylint: disable=wrong-import-position
from standins import ACK, BOUNCED, FIN, RST, SYN, Packet, Store  # noqa: E402

if sys.version_info < (3, 11):
    raise SystemExit(2)
import tomllib  # noqa: E402

MOD = 1 << 32
DRAIN_MS, CONFIG_APPLY_MS, STABLE_MS, FLOW_MAX_S = 3000, 3000, 4000, 60
IDLE_TIMEOUT_S = 12
# A server remembers a flow that has ended for this time.
ENDED_FLOW_S = 1.0
PLACEHOLDER = re.compile(r"\{\{([#^/]?)([\w.]+)(\|json)?\}\}")


class CouldNotRun(Exception):
    """The case could not be run; it says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # pylint: disable=R1732
        self.started_at = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started_at

    def note(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Fills in a template of the deploy file. Sections are only used for values
    that are present or absent."""
    template = re.sub(
        r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n",
        lambda match: match[2] if look_up(fields, match[1]) else "", template,
        flags=re.S)

    def fill(match):
        value = look_up(fields, match[2])
        if match[3]:
            return json.dumps(value)
        return ",".join(value) if isinstance(value, list) else str(value)

    return PLACEHOLDER.sub(fill, template)


class Server:
    """A backend server as PROTOCOL.md describes it: it answers a SYN with its
    own sequence number, serves one request at a time on each flow, acknowledges
    data and returns packets of flows that it does not hold. It closes a flow
    after its next response when it drains, and after `closes` responses."""

    def __init__(self, site, name, service, host, closes=0):
        self.site, self.name, self.service, self.host = site, name, service, host
        self.address = (host, site.ports["app"])
        self.outbound = (host, site.ports["outbound"])
        self.draining, self.running = False, True
        # Responses on a flow after which the server closes it; 0: no limit.
        self.closes = closes
        # Whether data is acknowledged at once, and not only with the response.
        self.acknowledges_at_once = True
        self.arrivals = []  # (time, flow) of each packet but opening ones
        self.work_s = 0.05
        self.flows, self.ran, self.resets_sent = {}, [], 0
        self.seq_number = 0
        self.born = int(time.time() * 1000)
        self.taken = []  # (source, time) of each opening packet taken
        self.lock = threading.Lock()
        self.listener = socket.create_server(self.address, backlog=128)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(self.address)
        for target in (self._run, self._serve_health):
            threading.Thread(target=target, daemon=True).start()
        # An entry changes when more than `seq` changes, so later status reports
        # that say nothing new change nothing that the system can read.
        self.publish()

    def entry(self):
        return {"service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": "z1", "version": "4.1.0", "slots": 7,
                "state": "draining" if self.draining else "ready",
                "coldRemainingMs": 0, "seq": self.seq_number,
                "born": self.born}

    def publish(self):
        """Writes the server's entry; the store's answer is the ack."""
        self.seq_number += 1
        self.site.store.put(f"servers/{self.name}", self.entry())

    def drain(self, closes_health_port=False):
        """Reports `draining`; the store's answer is the ack."""
        self.draining = True
        self.publish()
        self.site.record.note(f"{self.name}: drains; acknowledged")
        if closes_health_port:
            # Wakes the thread in accept(), which else keeps the port open.
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()

    def _serve_health(self):
        while self.running:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._answer_health, args=(connection,),
                             daemon=True).start()

    def _answer_health(self, connection):
        with connection:
            connection.settimeout(2)
            try:
                if connection.recv(2048):
                    code = "503 Leaving" if self.draining else "200 OK"
                    connection.sendall(f"HTTP/1.1 {code}\r\n"
                                       "Content-Length: 0\r\n\r\n".encode())
            except OSError:
                pass

    def _run(self):
        while self.running:
            try:
                packet = Packet.decode(self.socket.recv(2048))
            except OSError:
                return
            with self.lock:
                self._receive(packet)

    def _receive(self, packet):
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._open(key, flow, packet)
            return
        self.arrivals.append((self.site.record.now(), key[0]))
        if flow is None:
            packet.flags |= BOUNCED
            packet.mark = (b"\0" * 5, packet.mark[1])
            self._send(packet)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            if packet.ack != flow["next"]:
                return  # acknowledges another server's answer
            flow["open"] = True
            self.site.record.note(f"{self.name}: flow {key[0]} open")
        flow["acked"] = packet.ack
        if packet.flags & FIN:
            if not flow["peer_closed"]:
                flow["peer_closed"] = True
                flow["expected"] = (packet.seq + len(packet.data) + 1) % MOD
                threading.Timer(ENDED_FLOW_S, self._forget, [key, flow]).start()
            if not flow["busy"] and not flow["closed"]:
                flow["closed"] = True
                self._reply(key, flow, ACK | FIN)
                flow["next"] = (flow["next"] + 1) % MOD
            else:
                self._reply(key, flow, ACK)
        elif packet.data:
            self._receive_data(key, flow, packet)

    def _open(self, key, flow, packet):
        if flow is not None and flow["first"] == packet.seq:
            self._send(Packet(SYN | ACK, key[1], key[0], flow["initial"],
                              (packet.seq + 1) % MOD))
            return
        initial = random.randrange(MOD)
        self.flows[key] = {"first": packet.seq, "initial": initial,
                           "next": (initial + 1) % MOD, "open": False,
                           "expected": (packet.seq + 1) % MOD, "acked": 0,
                           "closed": False, "peer_closed": False, "busy": False,
                           "answers": 0,
                           "last": b""}
        self.taken.append((key[0], self.site.record.now()))
        self.site.record.note(
            f"{self.name}: took the opening packet of {key[0]} to {key[1]}")
        self._send(Packet(SYN | ACK, key[1], key[0], initial,
                          (packet.seq + 1) % MOD))

    def _forget(self, key, flow):
        with self.lock:
            if flow["closed"] and self.flows.get(key) is flow:
                del self.flows[key]

    def _receive_data(self, key, flow, packet):
        if flow["closed"] and flow["peer_closed"]:
            self._send_reset(key, flow)
            return
        if packet.seq != flow["expected"]:
            if flow["last"] and not flow["busy"]:
                self._send_data(key, flow)  # the response was lost
            else:
                self._reply(key, flow, ACK)
            return
        if flow["closed"]:
            self._send_reset(key, flow)
            return
        flow["expected"] = (packet.seq + len(packet.data)) % MOD
        flow["busy"] = True
        self.ran.append((self.site.record.now(), packet.data.decode()))
        self.site.record.note(f"{self.name}: runs {packet.data.decode()}")
        if self.acknowledges_at_once:
            self._reply(key, flow, ACK)
        threading.Timer(self.work_s, self._answer,
                        [key, flow, packet.data]).start()

    def _send_reset(self, key, flow):
        self.resets_sent += 1
        self.site.record.note(f"{self.name}: resets the ended flow {key[0]}")
        self._reply(key, flow, RST)

    def _answer(self, key, flow, request):
        with self.lock:
            if self.flows.get(key) is not flow:
                return
            flow["busy"] = False
            flow["last"] = f"{self.name}:".encode() + request
            flow["last_seq"] = flow["next"]
            flow["next"] = (flow["next"] + len(flow["last"])) % MOD
            flow["answers"] += 1
            flow["closed"] = self.draining or flow["answers"] == self.closes
            if flow["closed"]:
                flow["next"] = (flow["next"] + 1) % MOD
            self._send_data(key, flow)
        threading.Timer(0.2, self._retransmit, [key, flow, 0.2, 1]).start()

    def _retransmit(self, key, flow, interval_s, count):
        with self.lock:
            if (self.flows.get(key) is not flow or not self.running or
                    flow["acked"] == flow["next"] or count > 8):
                return
            self._send_data(key, flow)
        interval_s = min(interval_s * 2, 1.6)
        threading.Timer(interval_s, self._retransmit,
                        [key, flow, interval_s, count + 1]).start()

    def _send_data(self, key, flow):
        self._send(Packet(ACK | (FIN if flow["closed"] else 0), key[1], key[0],
                          flow["last_seq"], flow["expected"], flow["last"]))

    def _reply(self, key, flow, flags):
        self._send(Packet(flags, key[1], key[0], flow["next"],
                          flow["expected"]))

    def _send(self, packet):
        try:
            self.socket.sendto(packet.encode(), self.outbound)
        except OSError:
            pass

    def stop(self):
        self.running = False
        self.socket.close()
        self.listener.close()


class Router(threading.Thread):
    """The platform's routers: a hash of the four addresses and ports over the
    balancers in rotation. A balancer is out of rotation after two misses."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.misses, self.running = site, {}, True
        self.rotation = list(site.balancers)

    def run(self):
        while self.running:
            for name in self.site.balancers:
                ready = self.site.is_ready(name)
                self.misses[name] = 0 if ready else self.misses.get(name, 0) + 1
            rotation = [name for name in self.site.balancers
                        if self.misses[name] < 2]
            if len(rotation) * 2 < len(self.site.balancers):
                rotation = list(self.site.balancers)
            if rotation != self.rotation:
                self.site.record.note(f"router: in rotation {rotation}")
            self.rotation = rotation
            time.sleep(0.5)

    def choose(self, packet):
        rotation = self.rotation
        key = hash((packet.source, packet.destination)) // 7
        return rotation[key % len(rotation)]


class Client:
    """A consumer with an address of its own."""

    def __init__(self, site, address):
        self.site, self.address = site, address
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, site.ports["data"]))
        self.queues, self.condition = {}, threading.Condition()
        self.running = True
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self):
        while self.running:
            try:
                packet = Packet.decode(self.socket.recv(2048))
            except OSError:
                return
            with self.condition:
                self.queues.setdefault(packet.destination, []).append(packet)
                self.condition.notify_all()

    def send(self, packet):
        balancer = self.site.router.choose(packet)
        self.socket.sendto(packet.encode(),
                           (self.site.host(balancer), self.site.ports["data"]))

    def take(self, source, deadline):
        """The next packet for the port of `source`; None at the deadline."""
        with self.condition:
            while not self.queues.get(source):
                left = deadline - time.monotonic()
                if left <= 0:
                    return None
                self.condition.wait(left)
            return self.queues[source].pop(0)

    def stop(self):
        self.running = False
        self.socket.close()


class Flow:
    """A client's end of a flow. `state` is closed, open, reset or ended."""

    def __init__(self, client, port, service_address):
        self.client, self.source = client, (client.address, port)
        self.service_address, self.state = service_address, "closed"
        self.seq, self.ack = random.randrange(MOD), 0
        self.opened_at = self.used_at = None

    def _send(self, flags, data=b"", ack=None):
        self.client.send(Packet(flags, self.source, self.service_address,
                                self.seq, self.ack if ack is None else ack,
                                data))

    def open(self):
        with self.client.condition:
            self.client.queues[self.source] = []
        start = time.monotonic()
        for count, until in enumerate((0.2, 0.6, 1.4)):
            self._send(SYN, ack=count)
            while True:
                packet = self.client.take(self.source, start + until)
                if packet is None:
                    break
                if packet.flags & RST:
                    self.state = "refused"
                    return False
                if packet.flags & SYN and packet.ack == (self.seq + 1) % MOD:
                    self.seq = (self.seq + 1) % MOD
                    self.ack = (packet.seq + 1) % MOD
                    self._send(ACK)
                    self.state = "open"
                    self.opened_at = self.used_at = time.monotonic()
                    return True
        return False

    def close(self):
        """Closes an open flow; retransmits the FIN until the server closes."""
        self.state = "closing"
        for _ in range(4):
            self._send(ACK | FIN)
            packet = self.client.take(self.source, time.monotonic() + 0.2)
            while packet is not None:
                if packet.flags & FIN:
                    self.ack = (packet.seq + 1) % MOD
                    self.seq = (self.seq + 1) % MOD
                    self._send(ACK)
                    self.state = "ended"
                    return
                packet = self.client.take(self.source, time.monotonic() + 0.2)

    def request(self, data, budget_s=2.5):
        """Sends a request. Returns the answer, or None."""
        deadline = time.monotonic() + budget_s
        interval_s = 0.2
        while time.monotonic() < deadline:
            self._send(ACK, data)
            self.used_at = time.monotonic()
            until = min(deadline, time.monotonic() + interval_s)
            while True:
                packet = self.client.take(self.source, until)
                if packet is None:
                    break
                if packet.flags & RST:
                    self.state = "reset"
                    return None
                if packet.data and packet.seq == self.ack:
                    self.seq = (self.seq + len(data)) % MOD
                    self.ack = (self.ack + len(packet.data)) % MOD
                    if packet.flags & FIN:
                        self.ack = (self.ack + 1) % MOD
                        self.state = "ended"
                        self._send(ACK | FIN)  # both ends have closed
                        self.seq = (self.seq + 1) % MOD
                    else:
                        self._send(ACK)
                    return packet.data.decode()
            interval_s = min(interval_s * 2, 1.6)
        return None


class Site:
    """A small site. `servers` lists (name, service) of each server."""

    def __init__(self, record, servers, balancers=3, closes=0):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.network = (f"127.{random.randrange(80, 120)}."
                        f"{random.randrange(1, 255)}.")
        self.ports = dict(zip(("data", "ready", "control", "outbound", "app",
                               "store", "peer", "address"), free_ports()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.processes, self.logs, self.running = {}, [], True
        self.store = Store((self.network + "200", self.ports["store"]))
        self.version = 0
        self.balancers = [f"balancer-{i}" for i in range(balancers)]
        self.servers, self.clients = {}, []
        self.agents = {f"agent-{i}": server for i, server in enumerate(servers)}
        self.closes = closes

    def start(self, routes):
        self.publish_routes(routes)
        for agent, (name, service) in self.agents.items():
            self.servers[name] = Server(self, name, service, self.host(agent),
                                        self.closes)
        time.sleep(0.1)
        for name in list(self.agents) + self.balancers:
            self.start_process(name, bootstrap=True)
        deadline = time.monotonic() + 10
        for name in list(self.agents) + self.balancers:
            while not self.is_ready(name):
                if time.monotonic() > deadline:
                    raise CouldNotRun(f"{name} is not ready after 10 s")
                time.sleep(0.05)
        self.router = Router(self)
        self.router.start()
        # The machines come into touch.
        time.sleep(STABLE_MS / 1000 + 0.5)

    def publish_routes(self, routes):
        """Writes a configuration. `routes` maps a port to a service; the
        store's answer is the ack."""
        self.version += 3
        services = sorted({service for _, service in self.agents.values()})
        self.store.put("op/config", {
            "version": self.version,
            "limits": {"idleTimeoutMs": IDLE_TIMEOUT_S * 1000},
            "services": [{"name": name, "healthPath": "/health"}
                         for name in services],
            "routes": [{"name": f"r{port}", "host": "198.18.0.1",
                        "prefix": f"/{port}/", "service": service,
                        "routeType": "unsafe", "timeoutMs": 3000,
                        "targetLatencyMs": 300, "priority": 0,
                        "maxAttempts": 1} for port, service in routes.items()]})
        self.record.note(f"operator: version {self.version} {routes} is "
                         "acknowledged")

    def host(self, name):
        role, index = name.rsplit("-", 1)
        base = {"balancer": 10, "agent": 40}[role]
        return self.network + str(base + int(index))

    def client(self):
        client = Client(self, self.network + str(220 + len(self.clients)))
        self.clients.append(client)
        return client

    def fields(self, name, bootstrap):
        host = self.host(name)
        fields = {
            "nodeName": name, "zone": "z1", "region": "r1", "ip": host,
            "zones": {"z1": "r1"}, "bootstrap": bootstrap,
            "listen": {"datagramAddr": f"{host}:{self.ports['data']}",
                       "readyAddr": f"{host}:{self.ports['ready']}"},
            "portRange": [self.ports["peer"], self.ports["peer"] + 15],
            "seeds": [f"{self.host(b)}:{self.ports['control']}"
                      for b in self.balancers[:3]],
            "contracts": ["base", "drain", "config", "cost", "recover", "flows",
                          "platform"],
            "bounds": {"stableMs": STABLE_MS, "drainMs": DRAIN_MS, "graceS": 6,
                       "configApplyMs": CONFIG_APPLY_MS, "flowMaxS": FLOW_MAX_S},
            "platform": {"address": f"{self.network}200:{self.ports['store']}"},
        }
        if name in self.agents:
            fields["service"] = self.agents[name][1]
            fields["app"] = f"{host}:{self.ports['app']}"
            fields["listen"]["outbound"] = f"{host}:{self.ports['outbound']}"
        else:
            fields["listen"]["control"] = f"{host}:{self.ports['control']}"
        return fields

    def start_process(self, name, bootstrap=False):
        role = self.roles["flow-agent" if name in self.agents
                          else "flow-balancer"]
        path = pathlib.Path(self.folder.name) / f"{name}.yaml"
        path.write_text(render((ROOT / role["template"]).read_text(),
                               self.fields(name, bootstrap)))
        log = open(pathlib.Path(self.folder.name) / f"{name}.log",  # pylint: disable=R1732
                   "ab")
        self.logs.append(log)
        command = role["run"].split()
        if not (ROOT / command[0]).exists():
            raise CouldNotRun(f"{command[0]} is not built")
        self.processes[name] = subprocess.Popen(  # pylint: disable=R1732
            command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                 "CACTUSCROSS_SETTINGS": str(path)})
        self.record.note(f"platform: started {name}")

    def restart(self, name):
        """Planned stop: SIGTERM, SIGKILL after graceS, and a start."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        self.record.note(f"platform: SIGTERM to {name}")
        try:
            process.wait(6)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        time.sleep(0.5)
        self.start_process(name)

    def is_ready(self, name):
        connection = http.client.HTTPConnection(self.host(name),
                                                self.ports["ready"], timeout=0.4)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def log_lines(self, words):
        for path in sorted(pathlib.Path(self.folder.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if any(word in line for word in words):
                    yield f"{path.stem}: {line}"

    def stop(self):
        if hasattr(self, "router"):
            self.router.running = False
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 5
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for server in self.servers.values():
            server.stop()
        for client in self.clients:
            client.stop()
        for log in self.logs:
            log.close()
        self.store.server.shutdown()
        self.store.server.server_close()
        self.folder.cleanup()


def free_ports():
    """Eight ports that nothing uses now; the seventh starts a range of 16 that
    processes use for each other, of which the system uses one."""
    sockets = []
    for _ in range(8):
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind(("127.0.0.1", 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


def run_case(folder, case):
    """Runs `case(site_factory, record, trouble)`, which returns a list of
    violations, and returns the exit code of the script."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"TROUBLE={1 if trouble else 0}")
    sites = []

    def end(*_):
        raise CouldNotRun("ended by a signal")

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end)

    def make_site(*args, **kwargs):
        sites.append(Site(record, *args, **kwargs))
        return sites[-1]

    try:
        violations = case(make_site, record, trouble)
    except (CouldNotRun, OSError) as error:
        record.note(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    finally:
        for site in sites:
            site.stop()
    for violation in violations:
        record.note(f"BROKEN {violation}")
        print(f"BROKEN {violation}")
    record.note("rule broken" if violations else "rule held")
    print("rule broken" if violations else "rule held")
    return 1 if violations else 0
