#!/usr/bin/env python3
"""Runs callers, balancers, agents and servers on loopback, changes them under load and checks the results.

usage: demo.py BUILD [--keep] [--network 127.N] [--seconds S] [--seed N]
               [--loss P] [--duplicate P] [--reorder P]
"""

import argparse
import signal
import sys
import time

from cluster import Cluster, ClusterError, claim_network, default_folder
from verdict import Verdict

MAX_NEW_WORK_DELAY_MS = 5000  # a draining server must get no new work after this time


def show(text):
    print(text, flush=True)


def show_single_requests(cluster):
    """Shows what a stock client receives: a claim, a body of many blocks, and the notifications of a session."""
    claims = cluster.service_uri("claims", "claims")
    body = "service=workshops/claims\nclaim=demo-counter-1\n"
    post = cluster.stock_client("-B", "10", "-m", "post", "-e", body, claims)
    diagram = cluster.stock_client("-B", "20", "-m", "get", cluster.service_uri("diagrams", "diagrams/2"))
    session = cluster.stock_client("-s", "3", "-B", "5", "-m", "get", cluster.service_uri("claims", "jobs/1"))
    show("claim:    " + post.communicate()[0].decode().strip().replace("\n", " "))
    show("diagram:  %d bytes" % len(diagram.communicate()[0].rstrip(b"\n")))
    notifications = session.communicate()[0].decode().count("position=")
    show("session:  %d notifications in 3 s" % notifications)


def run_changes(cluster, seconds):
    """Drains a backend server and replaces a balancer while the load runs."""
    time.sleep(seconds / 4)
    show("change:   server-11 is drained")
    cluster.control_server(11, "state=draining")
    cluster.set_server_state(11, "leaving")
    time.sleep(seconds / 4)
    show("change:   balancer-4 replaces balancer-1")
    cluster.start_node("balancer-4")
    cluster.wait_ready("balancer-4")
    cluster.set_fabric_balancers([2, 3, 4])
    time.sleep(0.5)
    stop_seconds = cluster.stop("balancer-1")
    show("          balancer-1 stopped after %.1f s" % stop_seconds)


def show_results(cluster, report):
    counts = cluster.fabric_counts()
    for address, path in sorted(counts["balancers"].items()):
        show("balancer: %s carried %d in, %d out" % (address, path["to"], path["from"]))
    show("fabric:   lost %d, doubled %d, reordered %d" % (counts["lost"], counts["doubled"], counts["reordered"]))
    for kind, values in sorted(report["kinds"].items()):
        servers = ", ".join("%s %d" % item for item in sorted(values["by_server"].items()))
        show("%-9s sent %d, answered %d %s" % (kind + ":", values["sent"], values["answered"], servers))
    sessions = report["sessions"]
    show(
        "sessions: opened %(opened)d, notifications %(notifications)d, broken %(broken)d, "
        "longest gap %(longest_gap_ms)d ms" % sessions
    )
    for node, values in sorted(cluster.server_counts().items()):
        show("server-%d: %s" % (node, sum(values["paths"].values())) + " executions")


def run_demo(cluster, options):
    cluster.wait_serving()
    show_single_requests(cluster)
    cluster.start_load("demo", options.seconds, options.seed, "--session-callers", 12, "--largest-first")
    run_changes(cluster, options.seconds)
    report = cluster.finish_load("demo")
    show_results(cluster, report)
    server_counts = cluster.server_counts()
    verdict = Verdict(report, cluster.executions(), server_counts)
    verdict.expect_nothing_lost()
    last_work_ms = server_counts[11]["last_work_after_drain_ms"]
    verdict.expect(last_work_ms <= MAX_NEW_WORK_DELAY_MS, "server-11 got work %d ms after its drain" % last_work_ms)
    exited = cluster.exited_unexpectedly()
    verdict.expect(not exited, "processes exited unexpectedly: %s" % exited)
    for fault in verdict.faults[:10]:
        show("fault:    " + fault)
    show("verdict:  " + verdict.summary())
    return 1 if verdict.faults else 0


def keep_running(cluster):
    cluster.wait_serving()
    show("Running until Ctrl-C; logs in %s" % cluster.folder)
    show("try: coap-client-notls -m get " + cluster.service_uri("claims", "jobs/1"))
    show("     coap-client-notls -s 20 -m get " + cluster.service_uri("claims", "jobs/1"))
    show("     coap-client-notls -m get " + cluster.service_uri("diagrams", "diagrams/2"))
    show("     coap-client-notls -m post -e claim=my-claim " + cluster.service_uri("claims", "claims"))
    show("     curl http://%s/dump" % cluster.operations_address("agent-11"))
    while not cluster.exited_unexpectedly():
        time.sleep(0.5)
    raise ClusterError("processes exited unexpectedly: %s" % cluster.exited_unexpectedly())


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", help="build folder")
    parser.add_argument("--keep", action="store_true", help="leave the cluster running until Ctrl-C")
    parser.add_argument("--network", default="127.77", help="first two numbers of all addresses")
    parser.add_argument("--seconds", type=float, default=16, help="duration of the load in seconds")
    parser.add_argument("--seed", type=int, default=1)
    for name in ("loss", "duplicate", "reorder"):
        parser.add_argument("--" + name, type=float, default=0, help="probability per datagram")
    return parser.parse_args()


def main():
    options = parse_options()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    network_lock = claim_network(options.network)
    if not network_lock:
        show("network %s is in use by another run; choose another with --network 127.N" % options.network)
        return 1
    cluster = Cluster(options.build, options.network, default_folder(options.build, "demo"))
    fabric_options = ["--loss", options.loss, "--duplicate", options.duplicate, "--reorder", options.reorder]
    try:
        cluster.start_all(options.seed, fabric_options)
        return keep_running(cluster) if options.keep else run_demo(cluster, options)
    except KeyboardInterrupt:
        return 0
    except ClusterError as error:
        show("verdict:  FAILED: %s" % error)
        return 1
    finally:
        cluster.close()
        network_lock.close()


if __name__ == "__main__":
    sys.exit(main())
