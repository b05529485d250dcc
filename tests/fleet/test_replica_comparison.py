"""The comparison of replicas by their digests."""

from cypresswalk.fleet import client


def test_holders_are_compared_by_what_none_of_them_is_about_to_forget():
    """Each forgets by its own clock, once a second: on a busy fleet there is always one that has and one that has not."""

    def local(soon, sums, view=3):
        return {"soon": soon, "parts": [[7, view, True, False, len(sums), 0, sums]]}

    parts = [[7, 3, ["a#1", "b#1"]]]
    assert (
        client.differing_replicas(
            parts, {"a#1": local(10, {"11": "x", "12": "y"}), "b#1": local(11, {"12": "y"})}
        )
        == []
    )
    assert (
        len(
            client.differing_replicas(
                parts, {"a#1": local(10, {"11": "x", "12": "y"}), "b#1": local(10, {"12": "y"})}
            )
        )
        == 1
    )
    assert (
        len(
            client.differing_replicas(
                parts, {"a#1": local(10, {"12": "y"}), "b#1": local(11, {"12": "z"})}
            )
        )
        == 1
    )
    assert (
        len(
            client.differing_replicas(
                parts, {"a#1": local(10, {"12": "y"}), "b#1": local(10, {"12": "y"}, 2)}
            )
        )
        == 1
    )
    assert len(client.differing_replicas(parts, {"a#1": local(10, {"12": "y"})})) == 1
