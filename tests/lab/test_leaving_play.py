"""Load plays: servers that leave or ask for pauses, and whole fleets."""

from __future__ import annotations

import pytest

from tarragonlift_lab import leaving_play

SIZES = (18, 312)


class TestLeaving:
    """Servers say in answers alone that they leave."""

    @pytest.mark.parametrize("daemons", SIZES)
    def test_no_request_is_sent_late_or_broken_off(self, daemons: int) -> None:
        """Guard against requests to servers that said that they leave."""
        play = leaving_play.play_leaving(
            daemons, 1, reads_answers=True, tells_others=False
        )
        assert play.figures.after_leaving == 0
        assert play.figures.cut + play.figures.unreachable == 0
        assert play.outcomes["refused"] == 0
        assert play.count_late(leaving_play.TARGET_S) == 0

    def test_play_shows_daemons_that_do_not_read_answers(self) -> None:
        """Count what daemons send that know the list alone."""
        play = leaving_play.play_leaving(
            18, 1, reads_answers=False, tells_others=False
        )
        assert play.figures.after_leaving > 10
        assert play.figures.cut > 0

    def test_next_process_is_used(self) -> None:
        """Use a server again that started again after it had left."""
        play = leaving_play.LeavingPlay(18, 6, 1)
        play.start_load()
        play.leave("i-0", listed_after_s=9.0, notice_s=1.5)
        play.run(2.0)
        play.start_server("i-0")
        play.run(4.0)
        before = play.servers["i-0"].requests
        play.run(2.0)
        mean = leaving_play.LOAD_PER_S * 2.0 / 6
        assert play.servers["i-0"].requests - before >= 0.5 * mean
        assert play.figures.after_leaving == 0

    @pytest.mark.parametrize("daemons", SIZES)
    def test_rules_hold_while_daemons_restart(self, daemons: int) -> None:
        """Restart a daemon twice a second beside both."""
        play = leaving_play.LeavingPlay(daemons, 12, 2)
        play.start_load()
        play.store.set_away(True)
        for number in range(4):
            play.leave(f"i-{number}", listed_after_s=1.0, notice_s=6.0)
            play.pause(f"i-{number + 4}", 3.0)
            for _ in range(4):
                play.restart(play.rng.choice(play.alive))
                play.run(0.5)
        assert play.figures.after_leaving + play.figures.in_pause == 0


class TestPauses:
    """Servers turn requests away and ask for a pause."""

    @pytest.mark.parametrize(
        ("daemons", "tells", "servers", "pausing"),
        [(18, True, 6, 1), (18, False, 6, 1), (312, True, 30, 5)],
    )
    def test_nothing_is_sent_in_a_pause(
        self, daemons: int, tells: bool, servers: int, pausing: int
    ) -> None:
        """Guard against requests to servers in a pause."""
        play = leaving_play.play_pauses(
            daemons, 1, True, tells, servers, pausing
        )
        assert play.figures.turned_away > 0
        assert play.figures.in_pause == 0

    def test_play_shows_daemons_that_know_no_pauses(self) -> None:
        """Count what daemons send that take it for any refusal."""
        play = leaving_play.play_pauses(18, 1, False, False, 6, 1)
        assert play.figures.in_pause > 0

    @pytest.mark.parametrize("daemons", SIZES)
    def test_no_caller_is_refused_whom_others_could_serve(
        self, daemons: int
    ) -> None:
        """Let one server of six ask for a pause."""
        play = leaving_play.play_pauses(daemons, 1, True, True, 6, 1)
        assert play.outcomes["refused"] == 0
