"""Packets of an open flow are sent to another server until the flow ends, after
balancers were restarted and where the consumer had used the port before."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

# pylint: disable=wrong-import-position
from site_lib import Flow, run_case  # noqa: E402

SERVICE_ADDRESS = ("198.18.0.1", 443)
CONSUMERS = 60
REQUESTS_PER_FLOW = 6
REORDER_S, PACKETS = 2.0, 3


def consume(client, port, stop, record, flows):
    """Opens a flow, sends requests until the server closes it, and opens the
    next one from the same port after a pause."""
    number = 0
    time.sleep(port % 50 / 10)
    while not stop.is_set():
        flow = Flow(client, port, SERVICE_ADDRESS)
        flow.begun_at, flow.server = record.now(), None
        if not flow.open():
            time.sleep(0.5)
            continue
        while flow.state == "open":
            number += 1
            request = f"port{port}-request{number}"
            answer = flow.request(request.encode())
            record.note(f"client: {request} -> {answer or flow.state}")
            if answer is None:
                break
            flow.server = answer.split(":")[0]
            time.sleep(0.4)
        flow.ended_at = record.now()
        flows.append(flow)
        time.sleep(3)


def is_misled(flow, servers):
    """True if for reorderMs three or more packets of the flow reached other
    servers and none its own."""
    own = [at for at, source in servers[flow.server].arrivals
           if source == flow.source]
    others = sorted(at for name, server in servers.items()
                    if name != flow.server
                    for at, source in server.arrivals
                    if source == flow.source and
                    flow.begun_at < at < flow.ended_at)
    for first in others:
        end = first + REORDER_S
        if (end <= flow.ended_at and
                sum(first <= at <= end for at in others) >= PACKETS and
                not any(first <= at <= end for at in own)):
            return first
    return None


def case(make_site, record, trouble):
    site = make_site([("desk-1", "workshop-desk"), ("desk-2", "workshop-desk"),
                      ("desk-3", "workshop-desk"),
                      ("parts-1", "parts-library")], closes=REQUESTS_PER_FLOW)
    site.start({443: "workshop-desk", 444: "parts-library"})
    client, stop, flows, threads = site.client(), threading.Event(), [], []
    for number in range(CONSUMERS):
        threads.append(threading.Thread(
            target=consume, daemon=True,
            args=(client, 40001 + number, stop, record, flows)))
        threads[-1].start()
    time.sleep(9)
    # Planned work: all balancers are stopped and started in turn, twice.
    for balancer in site.balancers * 2:
        if trouble:
            site.restart(balancer)
            time.sleep(1.5)
        else:
            time.sleep(4)
    time.sleep(5)
    stop.set()
    for thread in threads:
        thread.join(8)
    violations = []
    for flow in flows:
        since = is_misled(flow, site.servers) if flow.server else None
        if since is not None:
            violations.append(
                f"FLOW: from {since:.3f}, packets of the flow of port "
                f"{flow.source[1]}, open at {flow.server}, reached only other "
                "servers")
    record.note(f"{len(flows)} flows")
    return violations


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
