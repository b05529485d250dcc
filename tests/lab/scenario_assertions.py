"""Assertions for each of the balancers' rules, on scenarios that the lab has played."""

from cypresswalk.lab.checker import COLD_SERVERS, DRAINS, LINES, ONE_ANSWER, ONE_EFFECT
from cypresswalk.lab.result import ScenarioResult


def _assert_rule_held(result: ScenarioResult, rule: str) -> None:
    violations = [text for text in result.breaches if text.startswith(rule)]
    assert result.broken.get(rule, 0) == 0, violations


def assert_not_void(result: ScenarioResult) -> None:
    """Assert that the result is valid for the balancer: the lab itself did not fail or run late."""
    assert not result.void, result.void


def assert_one_answer(result: ScenarioResult) -> None:
    """Assert rule one: each flow has one answer, by its deadline."""
    _assert_rule_held(result, ONE_ANSWER)


def assert_no_effect_twice(result: ScenarioResult) -> None:
    """Assert rule two: a flow that may have run, and must not run twice, is not sent again."""
    _assert_rule_held(result, ONE_EFFECT)


def assert_drains_respected(result: ScenarioResult) -> None:
    """Assert rule three: a draining server gets no new flow after the grace period."""
    _assert_rule_held(result, DRAINS)


def assert_cold_servers_within_budget(result: ScenarioResult) -> None:
    """Assert rule four: a cold server gets no more load than its budget."""
    _assert_rule_held(result, COLD_SERVERS)


def assert_lines_relayed(result: ScenarioResult) -> None:
    """Assert that lines are relayed completely, in order and once."""
    _assert_rule_held(result, LINES)


def assert_all_rules_held(result: ScenarioResult) -> None:
    """Assert that the scenario is not void and violates no rule."""
    assert_not_void(result)
    assert_one_answer(result)
    assert_no_effect_twice(result)
    assert_drains_respected(result)
    assert_cold_servers_within_budget(result)
    assert_lines_relayed(result)
    assert result.broken == {}, result.breaches
