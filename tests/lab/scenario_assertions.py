"""One assertion for each of the rules that balancers keep, on scenarios that the lab has played."""

from cypresswalk.lab.checker import COLD_SERVERS, DRAINS, LINES, ONE_ANSWER, ONE_EFFECT
from cypresswalk.lab.result import ScenarioResult


def _assert_rule_held(result: ScenarioResult, rule: str) -> None:
    violations = [text for text in result.breaches if text.startswith(rule)]
    assert result.broken.get(rule, 0) == 0, violations


def assert_not_void(result: ScenarioResult) -> None:
    """The result says something about the balancer: the lab itself was not late."""
    assert not result.void, result.void


def assert_one_answer(result: ScenarioResult) -> None:
    """Rule one: each flow has one answer, by its deadline."""
    _assert_rule_held(result, ONE_ANSWER)


def assert_no_effect_twice(result: ScenarioResult) -> None:
    """Rule two: what may have run, and must not run twice, is not sent again."""
    _assert_rule_held(result, ONE_EFFECT)


def assert_drains_respected(result: ScenarioResult) -> None:
    """Rule three: a server that drains gets no new flow once the grace is over."""
    _assert_rule_held(result, DRAINS)


def assert_cold_servers_spared(result: ScenarioResult) -> None:
    """Rule four: a server that has just started is not sent more than it can take."""
    _assert_rule_held(result, COLD_SERVERS)


def assert_lines_relayed(result: ScenarioResult) -> None:
    """Lines come through whole, in order and once."""
    _assert_rule_held(result, LINES)


def assert_all_rules_held(result: ScenarioResult) -> None:
    """A scenario that is not void violates no rule."""
    assert_not_void(result)
    assert_one_answer(result)
    assert_no_effect_twice(result)
    assert_drains_respected(result)
    assert_cold_servers_spared(result)
    assert_lines_relayed(result)
    assert result.broken == {}, result.breaches
