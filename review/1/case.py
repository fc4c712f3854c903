"""Flows of a live server are reset after another writer's entry, of a service
that the configuration does not name, has appeared for the server's address."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

# pylint: disable=wrong-import-position
from site_lib import FLOW_MAX_S, IDLE_TIMEOUT_S, Flow, run_case  # noqa: E402

SERVICE_ADDRESS = ("198.18.0.1", 443)
FLOWS = 24


def use(flow, number, stop, record):
    """Sends a request every 0.5 s until the flow ends."""
    count = 0
    while flow.state == "open" and not stop.is_set():
        count += 1
        request = f"flow{number}-request{count}"
        answer = flow.request(request.encode())
        if answer is not None:
            flow.server = answer.split(":")[0]
            flow.answered += 1
        record.note(f"client: {request} -> {answer or flow.state}")
        time.sleep(0.5)


def case(make_site, record, trouble):
    site = make_site([("desk-1", "workshop-desk"), ("desk-2", "workshop-desk"),
                      ("desk-3", "workshop-desk"),
                      ("parts-1", "parts-library")])
    site.start({443: "workshop-desk", 444: "parts-library"})
    client, stop, threads, flows = site.client(), threading.Event(), [], []
    for number in range(FLOWS):
        flow = Flow(client, 40001 + number, SERVICE_ADDRESS)
        flow.server, flow.answered = None, 0
        flow.open()
        flows.append(flow)
        threads.append(threading.Thread(target=use, daemon=True,
                                        args=(flow, number, stop, record)))
        threads[-1].start()
    time.sleep(3)
    if trouble:
        # Another program registers itself on the host of desk-1, under a
        # service that no configuration names, and leaves the other entries
        # alone.
        site.store.put("servers/exporter-7f3a", {
            "service": "node-exporter",
            "address": f"{site.servers['desk-1'].host}:9100", "zone": "z1",
            "version": "1.8.2", "slots": 1, "state": "ready",
            "coldRemainingMs": 0, "seq": 1, "born": int(time.time() * 1000)})
        record.note("store: entry servers/exporter-7f3a of the service "
                    "node-exporter on the host of desk-1")
    time.sleep(6)
    # Planned work: one balancer is stopped and started.
    site.restart("balancer-0")
    time.sleep(8)
    stop.set()
    for thread in threads:
        thread.join(4)
    for line in site.log_lines(('"host_reused"', '"kind":"lost"', '"lost"',
                                "exporter")):
        record.note(f"log {line}")
    violations = []
    now = time.monotonic()
    for number, flow in enumerate(flows):
        server = site.servers.get(flow.server)
        counts = (flow.state == "reset" and flow.answered > 0 and
                  server is not None and server.running and
                  server.resets_sent == 0 and
                  now - flow.opened_at < FLOW_MAX_S and
                  flow.used_at - flow.opened_at < FLOW_MAX_S and
                  now - flow.used_at < IDLE_TIMEOUT_S + 8)
        if counts:
            violations.append(f"FLOW: flow {number}, open at {flow.server}, "
                              "which lives and sent no reset, was reset")
    answered = sum(flow.answered for flow in flows)
    record.note(f"{answered} requests answered, "
                f"{sum(flow.state == 'open' for flow in flows)} of {FLOWS} "
                "flows open at the end")
    return violations


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
