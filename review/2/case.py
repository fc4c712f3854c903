"""A consumer whose flows all have the same port keeps being run by the service
that its route named before a change of the configuration."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

# pylint: disable=wrong-import-position
from site_lib import CONFIG_APPLY_MS, Flow, run_case  # noqa: E402

SERVICE_ADDRESS = ("198.18.0.1", 443)


def case(make_site, record, trouble):
    # Servers close each flow after its response, so the consumer's port is free
    # again once it has answered the server's FIN.
    site = make_site([("desk-1", "workshop-desk"), ("desk-2", "workshop-desk"),
                      ("parts-1", "parts-library"),
                      ("parts-2", "parts-library")], closes=1)
    site.start({443: "workshop-desk", 444: "parts-library"})
    client = site.client()
    begun_at = record.now()
    acknowledged_at = None
    violations = []
    number = 0
    while record.now() - begun_at < 22:
        if trouble and acknowledged_at is None and record.now() - begun_at > 6:
            site.publish_routes({443: "parts-library", 444: "parts-library"})
            acknowledged_at = record.now()
        number += 1
        flow = Flow(client, 40001, SERVICE_ADDRESS)
        sent_at = record.now()
        answer = None
        if flow.open():
            answer = flow.request(f"request{number}".encode())
        record.note(f"client: request{number}, sent at {sent_at:.3f} -> "
                    f"{answer or flow.state}")
        late = (acknowledged_at is not None and
                sent_at - acknowledged_at > CONFIG_APPLY_MS / 1000)
        if late and answer and answer.startswith("desk-"):
            violations.append(
                f"CONFIG: request{number}, sent "
                f"{sent_at - acknowledged_at:.1f} s after the ack of version "
                f"{site.version}, was run by workshop-desk ({answer})")
        time.sleep(0.8)
    return violations


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
