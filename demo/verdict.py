"""Checks the results that callers got against the executions on the backend servers."""

# Response codes that guarantee that the claim was not executed.
NOT_RUN_CODES = {"4.01", "4.02", "4.04", "4.05", "4.08", "4.13", "4.29", "5.03"}


class Verdict:
    """Totals of one load report and the violations found in it (`faults`)."""

    def __init__(self, report, executions, server_counts):
        self.faults = []
        kinds = report["kinds"].values()
        self.sent = sum(kind["sent"] for kind in kinds)
        self.answered = sum(kind["answered"] for kind in kinds)
        self.refused = sum(sum(kind["refused"].values()) for kind in kinds)
        self.unknown = sum(kind["unknown"] for kind in kinds)
        self.no_answer = sum(kind["no_answer"] + kind["reset"] for kind in kinds)
        self.body_changed = sum(kind["body_changed"] for kind in kinds)
        self.wrong_body = sum(kind["wrong_body"] for kind in kinds) + report["sessions"]["wrong_body"]
        misrouted = sum(counts["foreign"] for counts in server_counts.values())
        self.wrong_service = sum(kind["wrong_service"] for kind in kinds) + misrouted
        self.sessions = report["sessions"]
        self.broken = report["sessions"]["broken"]
        self.failures = report["failures"]
        self.claims = len(report["claims"])
        self.executed_once = 0
        self._check_claims(report["claims"], executions)
        self._expect(self.wrong_body == 0, "%d answers with a wrong body" % self.wrong_body)
        self._expect(self.wrong_service == 0, "%d requests or answers of a wrong service" % self.wrong_service)

    def _expect(self, holds, fault):
        if not holds:
            self.faults.append(fault)

    def _check_claims(self, claims, executions):
        for claim in claims:
            execution_count = executions.get(claim["id"], 0)
            outcome = claim["outcome"]
            self.executed_once += 1 if execution_count == 1 else 0
            text = "claim %s: outcome %s, executed %d times" % (claim["id"], outcome, execution_count)
            self._expect(execution_count <= 1, text)
            self._expect(outcome != "answered" or execution_count == 1, text)
            self._expect(outcome not in NOT_RUN_CODES or execution_count == 0, text)

    def expect_nothing_lost(self):
        """Checks that every request is answered and no session breaks, as planned changes require."""
        self._expect(self.refused == 0, "%d requests refused: %s" % (self.refused, self.failures[:3]))
        self.expect_answers_to_all()

    def expect_answers_to_all(self):
        """Checks that every request gets a complete answer or a rejection and that no session breaks.

        The constructor checks that rejected claims were not executed.
        """
        self._expect(self.unknown == 0, "%d requests with unknown outcome" % self.unknown)
        self._expect(self.no_answer == 0, "%d requests without an answer" % self.no_answer)
        self._expect(self.body_changed == 0, "%d bodies changed during the transfer" % self.body_changed)
        answers = self.answered + self.refused
        self._expect(answers == self.sent, "%d of %d requests got an answer" % (answers, self.sent))
        self.expect_sessions_kept()

    def expect_sessions_kept(self):
        self._expect(self.broken == 0, "%d broken sessions: %s" % (self.broken, self.failures[:3]))
        self._expect(self.sessions["opened"] > 0, "no session was opened")

    def expect(self, holds, fault):
        self._expect(holds, fault)

    def summary(self):
        return (
            "sent %d, answered %d, claims run exactly once %d of %d, refused %d, unknown %d, "
            "no answer %d, broken sessions %d of %d, wrong service %d, wrong body %d: %s"
        ) % (
            self.sent,
            self.answered,
            self.executed_once,
            self.claims,
            self.refused,
            self.unknown,
            self.no_answer,
            self.broken,
            self.sessions["opened"],
            self.wrong_service,
            self.wrong_body,
            "FAILED" if self.faults else "OK",
        )
