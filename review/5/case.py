"""Consumers whose flows have a fixed port are sent to a draining server for as
long as it runs."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

# pylint: disable=wrong-import-position
from site_lib import DRAIN_MS, Flow, run_case  # noqa: E402

SERVICE_ADDRESS = ("198.18.0.1", 443)
CONSUMERS = 9
WORK_S = 0.3  # the sheet's mean is 72 ms, its maximum 430 ms


def consume(client, port, stop, record, sent, answered):
    """Keeps a flow open for many requests, and opens it again from the same
    port after the server has closed it."""
    flow, count = None, 0
    while not stop.is_set():
        if flow is None or flow.state != "open":
            flow = Flow(client, port, SERVICE_ADDRESS)
            sent.setdefault(flow.source, []).append(record.now())
            record.note(f"client: port {port} opens a flow")
            if not flow.open():
                time.sleep(0.5)
                continue
        count += 1
        request = f"port{port}-request{count}"
        answer = flow.request(request.encode())
        record.note(f"client: {request} -> {answer or flow.state}")
        if answer is None:
            flow = None  # the consumer gives up
        else:
            answered.add(request)
        time.sleep(0.5)


def case(make_site, record, trouble):
    site = make_site([("desk-1", "workshop-desk"), ("desk-2", "workshop-desk"),
                      ("desk-3", "workshop-desk"),
                      ("parts-1", "parts-library")])
    site.start({443: "workshop-desk", 444: "parts-library"})
    for desk in site.servers.values():
        desk.work_s = WORK_S
    client, stop, sent, threads = site.client(), threading.Event(), {}, []
    answered = set()
    for number in range(CONSUMERS):
        threads.append(threading.Thread(
            target=consume, daemon=True,
            args=(client, 40001 + number, stop, record, sent, answered)))
        threads[-1].start()
    time.sleep(4)
    server, acknowledged_at = site.servers["desk-1"], None
    if trouble:
        server.drain()
        acknowledged_at = record.now()
    # The server goes on serving for drainMs and some seconds, and then exits.
    time.sleep(DRAIN_MS / 1000 + 7)
    if trouble:
        server.stop()
        site.store.delete("servers/desk-1")
        record.note("desk-1: exits")
    time.sleep(3)
    stop.set()
    for thread in threads:
        thread.join(4)
    if acknowledged_at is None:
        return []
    for at, request in server.ran:
        if request not in answered:
            record.note(f"desk-1 ran {request} at {at:.3f}; the consumer got no "
                        "answer")
    violations = []
    for source, taken_at in server.taken:
        after_s = taken_at - acknowledged_at
        sent_at = max(at for at in sent[source] if at <= taken_at)
        if after_s > DRAIN_MS / 1000:
            violations.append(
                f"DRAIN: desk-1 took a flow of port {source[1]}, opened at "
                f"{sent_at:.3f}, {after_s:.1f} s after the ack that it drains")
    return violations


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
