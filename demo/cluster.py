"""Starts and stops the processes of the demo and of the tests with real processes.

All addresses are in one /16 of the loopback network. The files under
demo/settings and demo/contracts use 127.77; a cluster on another network N
replaces that prefix when it reads them:

  N.0.1:5683, N.0.2:5685   service addresses (claims, diagrams) at the fabric
  N.1.B                    balancer B: service ports, 7000 peer messages, 9000 operations server
  N.2.A                    agent A: 7000 peer messages, 9000 operations server
  N.3.A:8000               backend server of agent A
  N.4.1:8500               platform
  N.5.1:8600, N.5.2        fabric: control interface, upstream sockets
  N.6.1                    callers
  N.255.254:7999           bound as a lock while a cluster uses the network
"""

import json
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

HERE = pathlib.Path(__file__).resolve().parent
FILES_NETWORK = "127.77"
BALANCERS = (1, 2, 3)
# Service of each agent and its backend server, by node number of the agent.
SERVICES = {11: "claims", 12: "claims", 13: "claims", 14: "claims", 21: "diagrams", 22: "diagrams"}
# First path segments of each service.
ROOTS = {"claims": ("claims", "jobs"), "diagrams": ("diagrams",)}
STOP_BOUND_S = 10  # max time from SIGTERM to the exit of a process
HTTP_TIMEOUT_S = 5


class ClusterError(Exception):
    """A process did not start, did not answer or exited unexpectedly."""


def claim_network(network):
    """Locks `network` and returns the socket that holds the lock, or None if another process has it."""
    network_lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        network_lock.bind((network + ".255.254", 7999))
    except OSError:
        network_lock.close()
        return None
    network_lock.listen(1)
    return network_lock


def claim_free_network(first=100, last=140):
    """Locks the first free network in the range and returns it with the socket that holds the lock."""
    for octet in range(first, last):
        network = "127.%d" % octet
        network_lock = claim_network(network)
        if network_lock:
            return network, network_lock
    raise ClusterError("no free network from 127.%d to 127.%d" % (first, last))


class Cluster:
    """Manages processes by name: "balancer-1", "agent-11", "server-11", "fabric", "platform"."""

    def __init__(self, build, network, folder):
        self.build = pathlib.Path(build).resolve()
        self.network = network
        self.folder = pathlib.Path(folder).resolve()
        self.processes = {}
        self.paused = set()
        self.contract = self._localized(HERE / "contracts" / "workshops.yaml")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)

    def _localized(self, path):
        return path.read_text().replace(FILES_NETWORK + ".", self.network + ".")

    def address(self, suffix):
        """Returns the network prefix followed by `suffix`, for example "127.77.4.1:8500"."""
        return "%s.%s" % (self.network, suffix)

    # Starting and stopping processes.

    def spawn(self, name, command):
        """Starts a process and appends its output to NAME.log in the folder of the cluster."""
        with open(self.folder / (name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(part) for part in command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=self.folder,
            )
        return self.processes[name]

    def start_standin(self, name, role, *options):
        return self.spawn(name, [self.build / "tests/standin/cactuscross_standin", role, *options])

    def start_platform(self):
        self.start_standin("platform", "platform", "--listen", self.address("4.1:8500"))
        self.wait_http("platform", self.address("4.1:8500"), "/control")

    def start_fabric(self, seed, *options):
        command = ["--control", self.address("5.1:8600"), "--upstream", self.address("5.2")]
        command += ["--service", self.address("0.1:5683"), "--service", self.address("0.2:5685")]
        for balancer in BALANCERS:
            command += ["--balancer", self.address("1.%d" % balancer)]
        self.start_standin("fabric", "fabric", *command, "--seed", seed, *options)
        self.wait_http("fabric", self.address("5.1:8600"), "/counts")

    def start_server(self, node, *options):
        service = SERVICES[node]
        name = "server-%d" % node
        command = ["--name", name, "--service", "workshops/" + service, "--seed", node]
        command += ["--listen", self.address("3.%d:8000" % node)]
        command += ["--log", self.folder / (name + ".executions")]
        for root in ROOTS[service]:
            command += ["--root", root]
        self.start_standin(name, "server", *command, *options)
        self.wait_http(name, self.address("3.%d:8000" % node), "/health")

    def start_node(self, name):
        """Starts a balancer or an agent from its settings file."""
        role = name.split("-")[0]
        settings = self.folder / (name + ".yaml")
        settings.write_text(self._localized(HERE / "settings" / (name + ".yaml")))
        self.spawn(name, [self.build / "cactuscross", role, "--settings", settings])
        self.wait_http(name, self.operations_address(name), "/metrics")

    def wait_ready(self, name, bound_s=20):
        """Waits until a balancer or an agent accepts new work, as operators do before their next step."""
        deadline = time.monotonic() + bound_s
        while time.monotonic() < deadline:
            dump = self.dump(name)
            if dump["control"]["ready"] and dump.get("accepts_work", True):
                return
            time.sleep(0.1)
        raise ClusterError("%s does not accept work: %s" % (name, json.dumps(dump)[:1500]))

    def operations_address(self, name):
        role, node = name.split("-")
        return self.address("%d.%s:9000" % (1 if role == "balancer" else 2, node))

    def start_all(self, seed=1, fabric_options=()):
        self.start_platform()
        self.write_contract()
        self.write_hosts(["balancer-%d" % b for b in BALANCERS] + ["agent-%d" % a for a in SERVICES])
        for node in SERVICES:
            self.start_server(node)
        for balancer in BALANCERS:
            self.start_node("balancer-%d" % balancer)
        for node in SERVICES:
            self.start_node("agent-%d" % node)
        self.start_fabric(seed, *fabric_options)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def stop(self, name, bound_s=STOP_BOUND_S):
        """Stops a process with SIGTERM and returns the seconds until it exited."""
        process = self.processes.pop(name)
        start = time.monotonic()
        process.send_signal(signal.SIGTERM)
        try:
            code = process.wait(bound_s + 2)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            raise ClusterError("%s did not exit within %d s of SIGTERM" % (name, bound_s)) from None
        if code != 0:
            raise ClusterError("%s exited with code %d on SIGTERM" % (name, code))
        return time.monotonic() - start

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name):
        self.paused.add(name)
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        self.paused.discard(name)
        self.signal(name, signal.SIGCONT)

    def exited_unexpectedly(self):
        """Returns the exit codes, by name, of processes that exited without being stopped or killed."""
        return {name: p.returncode for name, p in self.processes.items() if p.poll() is not None}

    def close(self):
        """Stops every process of this cluster in reverse order of their start, so that callers stop first."""
        for name in list(self.paused):
            self.resume(name)
        running = list(self.processes.values())[::-1]
        self.processes = {}
        for process in running:
            process.terminate()
        deadline = time.monotonic() + 3
        for process in running:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # HTTP.

    def http(self, method, address, path, body=None):
        request = urllib.request.Request("http://%s%s" % (address, path), method=method)
        data = body.encode() if body is not None else None
        with urllib.request.urlopen(request, data=data, timeout=HTTP_TIMEOUT_S) as response:
            return response.read().decode()

    def http_json(self, method, address, path, body=None):
        return json.loads(self.http(method, address, path, body))

    def wait_http(self, name, address, path, bound_s=10):
        deadline = time.monotonic() + bound_s
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                break
            try:
                return self.http("GET", address, path)
            except (OSError, urllib.error.URLError):
                time.sleep(0.05)
        log = (self.folder / (name + ".log")).read_text(errors="replace")
        raise ClusterError("%s does not answer at %s%s\n%s" % (name, address, path, log[-2000:]))

    # Configuration and control.

    def write_contract(self):
        response = self.http_json("PUT", self.address("4.1:8500"), "/v1/contracts/workshops", self.contract)
        return response["revision"]

    def set_server_state(self, node, state):
        """Writes a contract in which the server of agent `node` has the state `state`."""
        pattern = r"(node: %d, .*state: )\w+" % node
        self.contract = re.sub(pattern, r"\g<1>" + state, self.contract)
        return self.write_contract()

    def write_hosts(self, names, leaving=()):
        hosts = []
        for name in names:
            role, node = name.split("-")
            settings = self._localized(HERE / "settings" / (name + ".yaml"))
            hosts.append(
                {
                    "node": int(node),
                    "role": role,
                    "zone": re.search(r"zone: (\S+)", settings).group(1),
                    "address": re.search(r'listen: "(\S+)"', settings).group(1),
                    "state": "leaving" if name in leaving else "live",
                }
            )
        self.http("PUT", self.address("4.1:8500"), "/v1/hosts", json.dumps({"hosts": hosts}))

    def control_platform(self, query):
        return self.http_json("PUT", self.address("4.1:8500"), "/control/mode?" + query)

    def control_server(self, node, query):
        return self.http_json("PUT", self.address("3.%d:8000" % node), "/control?" + query)

    def control_fabric(self, path, body=None):
        return self.http_json("PUT", self.address("5.1:8600"), path, body)

    def set_fabric_balancers(self, balancers):
        addresses = [self.address("1.%d" % b) for b in balancers]
        return self.control_fabric("/balancers", json.dumps(addresses))

    # Observation.

    def fabric_counts(self):
        return self.http_json("GET", self.address("5.1:8600"), "/counts")

    def server_counts(self):
        counts = {}
        for node in SERVICES:
            if "server-%d" % node in self.processes:
                counts[node] = self.http_json("GET", self.address("3.%d:8000" % node), "/executions")
        return counts

    def dump(self, name):
        return self.http_json("GET", self.operations_address(name), "/dump")

    def executions(self):
        """Returns the number of executions started per claim id, over all servers including stopped ones."""
        counts = {}
        for log in self.folder.glob("server-*.executions"):
            for claim in log.read_text().split():
                counts[claim] = counts.get(claim, 0) + 1
        return counts

    # Clients.

    def service_uri(self, service, path):
        host = self.address("0.1:5683") if service == "claims" else self.address("0.2:5685")
        return "coap://%s/%s" % (host, path)

    def stock_client(self, *options):
        """Starts one coap-client-notls without waiting for it to exit."""
        return subprocess.Popen(
            ["coap-client-notls", *options],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    def wait_serving(self, bound_s=20):
        """Waits until both services answer a stock client through the fabric."""
        for service, path in (("claims", "jobs/0"), ("diagrams", "diagrams/0")):
            deadline = time.monotonic() + bound_s
            while True:
                client = self.stock_client("-B", "3", "-m", "get", self.service_uri(service, path))
                output, errors = client.communicate()
                if b"service=workshops/" + service.encode() in output:
                    break
                if time.monotonic() > deadline:
                    raise ClusterError("service %s does not answer: %r %r" % (service, output[-200:], errors[-200:]))
                time.sleep(0.2)

    def start_load(self, tag, seconds, seed, *options):
        command = ["--claims", self.address("0.1:5683"), "--diagrams", self.address("0.2:5685")]
        command += ["--source", self.address("6.1"), "--tag", tag, "--seconds", seconds, "--seed", seed]
        command += ["--report", self.folder / (tag + ".json")]
        return self.start_standin("load-" + tag, "load", *command, *options)

    def finish_load(self, tag, bound_s=120):
        process = self.processes.pop("load-" + tag)
        code = process.wait(bound_s)
        if code != 0:
            raise ClusterError("load %s exited with code %d" % (tag, code))
        return json.loads((self.folder / (tag + ".json")).read_text())


def default_folder(build, name):
    return pathlib.Path(build).resolve() / name
