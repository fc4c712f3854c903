"""Stand-ins of the users' platform for tests with real processes: a store, a
backend server and a client that exchange the platform's packets. They use
loopback addresses only."""

import base64
import http.server
import json
import random
import socket
import struct
import threading
import time
import urllib.parse

HEADER = struct.Struct("<B5s4sIIHHIHII")
SYN, RST, BOUNCED, ACK, FIN = 1, 2, 32, 64, 128


def to_number(address):
    return struct.unpack("!I", socket.inet_aton(address))[0]


def to_address(number):
    return socket.inet_ntoa(struct.pack("!I", number))


class Packet:
    """One packet. `mark` holds the fields pad and echo, in which balancers mark
    packets."""

    def __init__(self, flags, source, destination, seq=0, ack=0, data=b"",
                 mark=(b"\0" * 5, b"\0" * 4)):
        self.flags, self.source, self.destination = flags, source, destination
        self.seq, self.ack, self.data, self.mark = seq, ack, data, mark

    def encode(self):
        return HEADER.pack(
            self.flags, self.mark[0], self.mark[1],
            to_number(self.destination[0]), to_number(self.source[0]),
            self.source[1], self.destination[1], 0, len(self.data), self.seq,
            self.ack) + self.data

    @staticmethod
    def decode(encoded):
        (flags, pad, echo, dst, src, sport, dport, _, length, seq,
         ack) = HEADER.unpack_from(encoded)
        data = encoded[HEADER.size:HEADER.size + length]
        return Packet(flags, (to_address(src), sport), (to_address(dst), dport),
                      seq, ack, data, (pad, echo))


class Store:
    """Key-value store that answers lists and watches as the platform does."""

    def __init__(self, address):
        self.items, self.deleted, self.revision, self.era = {}, {}, 1, 1
        self.changed = threading.Condition()
        self.down = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):  # pylint: disable=invalid-name
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query))
                status, body = store.handle_request(parts.path, query)
                encoded = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(encoded)))
                self.send_header("Store-Era", str(store.era))
                self.end_headers()
                try:
                    self.wfile.write(encoded)
                except OSError:
                    pass  # the client closed the connection

            def log_message(self, *_):
                pass

        http.server.ThreadingHTTPServer.allow_reuse_address = True
        self.server = http.server.ThreadingHTTPServer(address, Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            self.items[key] = (base64.b64encode(encoded).decode(), self.revision)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.deleted[key] = self.revision
            self.changed.notify_all()

    def copy(self):
        with self.changed:
            return dict(self.items), dict(self.deleted), self.revision

    def restore(self, copy):
        """Comes back from `copy`: what was written since then is lost, and its
        revisions are assigned again."""
        with self.changed:
            self.items, self.deleted, self.revision = copy
            self.era += 1
            self.changed.notify_all()

    def handle_request(self, path, query):
        if self.down:
            return 503, {"error": "down"}
        prefix = query.get("prefix", "")
        with self.changed:
            if path == "/kv-range":
                return 200, {"items": self._items(prefix, 0), "truncated": False,
                             "at": self.revision}
            after = int(query["after"])
            if after > self.revision:
                return 410, {"error": "unknown revision"}
            deadline = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = self._items(prefix, after) + [
                    {"key": key, "rev": rev, "deleted": True}
                    for key, rev in self.deleted.items()
                    if key.startswith(prefix) and rev > after]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(remaining_s)

    def _items(self, prefix, after):
        return [{"key": key, "value": value, "rev": rev, "created": rev,
                 "lease": 0}
                for key, (value, rev) in sorted(self.items.items())
                if key.startswith(prefix) and rev > after]


class Server:
    """A backend server that accepts every flow and answers every request."""

    def __init__(self, address, outbound, name):
        self.address, self.outbound, self.name = address, outbound, name
        self.flows, self.openings, self.returned_packets = {}, 0, 0
        self.service_time_s = 0
        self.listener = socket.create_server(address)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(address)
        self.running = True
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        self.running = False
        self.socket.close()
        self.listener.close()

    def _run(self):
        while self.running:
            try:
                datagram = self.socket.recv(2048)
            except OSError:
                return
            packet = Packet.decode(datagram)
            flow = (packet.source, packet.destination)
            if packet.flags & SYN:
                self.openings += 1
                self.flows.setdefault(flow, random.randrange(1 << 32))
                self._reply(packet, SYN | ACK, self.flows[flow], packet.seq + 1)
            elif flow not in self.flows:
                self.returned_packets += 1
                packet.flags |= BOUNCED
                packet.mark = (b"\0" * 5, packet.mark[1])
                self._send(packet)
            elif packet.data and self.service_time_s == 0:
                self._answer(packet)
            elif packet.data:
                threading.Timer(self.service_time_s, self._answer,
                                [packet]).start()

    def _answer(self, packet):
        self._reply(packet, ACK, packet.ack, packet.seq + len(packet.data),
                    self.name.encode() + b":" + packet.data)

    def _reply(self, packet, flags, seq, ack, data=b""):
        self._send(Packet(flags, packet.destination, packet.source,
                          seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data))

    def _send(self, packet):
        if self.running:
            self.socket.sendto(packet.encode(), self.outbound)


class Client:
    """A client with its own address. Each packet goes to a random balancer, as
    routers may choose any of them."""

    def __init__(self, address, balancers, data_port):
        self.address, self.balancers = address, balancers
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, data_port))
        self.next_port = 1024

    def open(self, service, timeout_s=1.4):
        """Opens a flow. Returns it, or None after a reset or a timeout."""
        self.next_port += 1
        flow = Flow(self, (self.address, self.next_port), service)
        for retransmit_count, wait_s in enumerate((0.2, 0.4, timeout_s - 0.6)):
            # The ack field of a SYN counts its retransmissions.
            self.send(Packet(SYN, flow.source, service, flow.seq,
                             retransmit_count))
            packet = self.receive(flow, wait_s)
            if packet is not None:
                if packet.flags & RST:
                    return None
                flow.seq += 1
                flow.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.send(Packet(ACK, flow.source, service, flow.seq, flow.ack))
                return flow
        return None

    def send(self, packet):
        self.socket.sendto(packet.encode(), random.choice(self.balancers))

    def receive(self, flow, timeout_s):
        deadline = time.monotonic() + timeout_s
        while True:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return None
            self.socket.settimeout(remaining_s)
            try:
                packet = Packet.decode(self.socket.recv(2048))
            except (socket.timeout, OSError):
                return None
            if packet.destination == flow.source:
                return packet


class Flow:
    """A flow of a client to a service address."""

    def __init__(self, client, source, service):
        self.client, self.source, self.service = client, source, service
        self.seq, self.ack = random.randrange(1 << 31), 0

    def send(self, data):
        """Sends a request without waiting for the answer."""
        self.client.send(Packet(ACK, self.source, self.service, self.seq,
                                self.ack, data))

    def exchange(self, data, attempts=4):
        """Sends a request and returns the answer, "reset" or None."""
        wait_s = 0.2
        for _ in range(attempts):
            self.send(data)
            packet = self.client.receive(self, wait_s)
            while packet is not None:
                if packet.flags & RST:
                    return "reset"
                if packet.data.endswith(data):
                    self.seq += len(data)
                    return packet.data.decode()
                packet = self.client.receive(self, wait_s)
            wait_s *= 2
        return None
