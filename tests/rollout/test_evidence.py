"""The evidence by which a release is judged."""

from release_model import PLAN

from cypresswalk.rollout.evidence import Evidence, ServedCounts, assess


def test_a_verdict_needs_enough_flows_and_one_failure_does_not_decide_it():
    others = ServedCounts(10_000, 0, 50, 10_000 * 3_000_000)

    def of(up, rejected, failed, ms=3, against=others):
        return assess(
            PLAN, "n0", ServedCounts(up, rejected, failed, up * ms * 1_000_000), against
        ).verdict

    assert of(9, 0, 1) == "unknown" and of(200, 0, 2) == "good" and of(180, 0, 20) == "bad"
    assert of(196, 0, 4) == "unknown"  # two in a hundred, not surely
    assert (
        of(200, 200, 0) == "bad" and of(200, 0, 0, 9) == "bad" and of(0, 0, 60) == "bad"
    )  # ready, and rejects
    assert (
        of(200, 0, 0, 9, ServedCounts()) == "good"
        and of(200, 200, 0, 3, ServedCounts()) == "unknown"
    )  # nobody to hold it against


def test_evidence_compares_the_same_time_and_with_passed_waves_once_all_are_changed():
    """Else a server lost for a moment, or the last wave, would halt every good release."""
    evidence, served, now = Evidence(), {name: [0, 0, 0, 0] for name in ("n0", "n1", "n2")}, 0

    def step(seconds, members, wave, share=0.0, **odd):
        nonlocal now
        for _ in range(seconds):
            now += 10**9
            for name, counts in served.items():
                failed = round(100 * odd.get(name, share))
                counts[0], counts[2], counts[3] = (
                    counts[0] + 100 - failed,
                    counts[2] + failed,
                    counts[3] + (100 - failed) * 3_000_000,
                )
            evidence.observe(
                now, members, wave, {name: ServedCounts(*counts) for name, counts in served.items()}
            )
        return evidence.first_failure(PLAN, now)

    old = {"n0": "old", "n1": "old", "n2": "old"}
    assert not step(60, old, ["n0"])
    served["n0"] = [0, 0, 0, 0]
    assert not step(
        6, old | {"n0": "new"}, ["n0"], share=0.4
    )  # a server is lost to all, as n0 comes: of its flows nearly half
    assert not step(30, old | {"n0": "new"}, ["n0"], share=0.01) and not evidence.missing(
        PLAN, ["n0"]
    )
    all_new = dict.fromkeys(old, "new")
    assert not step(30, all_new, ["n1", "n2"], share=0.02) and not evidence.missing(
        PLAN, ["n1", "n2"]
    )
    assert step(30, all_new, ["n1", "n2"], share=0.02, n2=0.3).startswith("n2 failed or rejected")
