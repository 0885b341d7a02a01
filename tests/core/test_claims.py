"""Test the claims in the platform's table."""

from __future__ import annotations

from tarragonlift.core import call as call_module
from tarragonlift.core import claims
from tarragonlift.core import const
from tarragonlift.core import models
from tests import common

ClaimState = call_module.ClaimState


def make_call(request_id: str, key: str = "k") -> call_module.Call:
    """Return a call whose request runs at most once."""
    request = common.make_request(
        const.Run.ONCE, request_id=request_id, key=key
    )
    return call_module.Call(request, common.make_pool())


def get_transaction(
    manager: claims.ClaimManager, now: float = 0.0
) -> claims.TransactRequest:
    """Return the transaction that the manager requests."""
    requests = manager.next_requests(now)
    (transact,) = [
        one for one in requests if isinstance(one, claims.TransactRequest)
    ]
    return transact


def claim_states(outcomes: list[claims.ClaimOutcome]) -> list[ClaimState]:
    """Return the states of the claim results."""
    return [
        outcome.state
        for outcome in outcomes
        if isinstance(outcome, claims.ClaimResult)
    ]


class TestClaimManager:
    """Test that a key has one claim when results of the table are lost."""

    def test_pending_claims_share_a_transaction(self) -> None:
        """Claims that arrive during a transaction share the next one."""
        manager = claims.ClaimManager("entry-0")
        manager.claim(make_call("r0", "k0"), 0.0)
        transact = get_transaction(manager)
        for number in range(1, 6):
            manager.claim(make_call(f"r{number}", f"k{number}"), 0.0)
        assert manager.next_requests(0.0) == []
        manager.on_transaction_result(transact.number, [], 0.1)
        assert len(get_transaction(manager).operations) == 5
        assert (manager.transactions, manager.operations) == (2, 6)

    def test_two_claims_of_one_key_do_not_share_a_transaction(self) -> None:
        """The second claim waits for the transaction of the first."""
        manager = claims.ClaimManager("entry-0")
        manager.claim(make_call("r0"), 0.0)
        manager.claim(make_call("r1"), 0.0)
        assert len(get_transaction(manager).operations) == 1

    def test_lost_result_is_resolved_by_reading_back(self) -> None:
        """A row with the own attempt shows that the write happened."""
        manager = claims.ClaimManager("entry-0")
        call = make_call("r0")
        manager.claim(call, 0.0)
        transact = get_transaction(manager)
        assert manager.on_answer_lost(transact.number, 0.1) == []
        (read,) = manager.next_requests(0.1)
        value = transact.operations[0].value
        row = claims.Row(read.key, 1, value)
        outcomes = manager.on_read_result(read.number, row, 0.2)
        assert claim_states(outcomes) == [ClaimState.CLAIMED]

    def test_lost_result_of_a_write_that_did_not_happen(self) -> None:
        """Without a row the call is not claimed; a late write is expected."""
        manager = claims.ClaimManager("entry-0")
        manager.claim(make_call("r0"), 0.0)
        transact = get_transaction(manager)
        manager.on_answer_lost(transact.number, 0.1)
        (read,) = manager.next_requests(0.1)
        outcomes = manager.on_read_result(
            read.number, claims.Row(read.key, 0, None), 0.2
        )
        assert claim_states(outcomes) == [ClaimState.NOT_CLAIMED]
        assert manager.orphan_count == 1

    def test_claim_written_late_is_released(self) -> None:
        """Release a claim that was written late; its request was not sent."""
        manager = claims.ClaimManager("entry-0")
        manager.claim(make_call("r0"), 0.0)
        transact = get_transaction(manager)
        manager.on_answer_lost(transact.number, 0.1)
        (read,) = manager.next_requests(0.1)
        manager.on_read_result(read.number, claims.Row(read.key, 0, None), 0.2)
        (read,) = manager.next_requests(5.0)
        row = claims.Row(read.key, 1, transact.operations[0].value)
        manager.on_read_result(read.number, row, 5.1)
        release = get_transaction(manager, 5.1)
        assert release.operations[0].value is None
        assert release.operations[0].if_version == 1

    def test_lost_result_and_failed_read_is_unknown(self) -> None:
        """The state is unknown when the row cannot be read either."""
        manager = claims.ClaimManager("entry-0")
        manager.claim(make_call("r0"), 0.0)
        manager.on_answer_lost(get_transaction(manager).number, 0.1)
        (read,) = manager.next_requests(0.1)
        outcomes = manager.on_not_sent(read.number, 0.2)
        assert claim_states(outcomes) == [ClaimState.UNKNOWN]

    def test_unreachable_table_is_not_claimed(self) -> None:
        """The call is not claimed when the table was not reached."""
        manager = claims.ClaimManager("entry-0")
        manager.claim(make_call("r0"), 0.0)
        outcomes = manager.on_not_sent(get_transaction(manager).number, 0.1)
        assert claim_states(outcomes) == [ClaimState.NOT_CLAIMED]

    def test_conflict_affects_only_its_own_call(self) -> None:
        """Other claims of a transaction succeed after one key conflicts."""
        manager = claims.ClaimManager("entry-0")
        manager.claim(make_call("r0", "k0"), 0.0)
        manager.claim(make_call("r1", "k1"), 0.0)
        transact = get_transaction(manager)
        other = {"attempt": "x", "state": "claimed", "print": "print"}
        row = claims.Row(transact.operations[0].key, 1, other)
        outcomes = manager.on_transaction_result(transact.number, [row], 0.1)
        assert claim_states(outcomes) == [ClaimState.IN_PROGRESS]
        outcomes = manager.on_transaction_result(
            get_transaction(manager).number, [], 0.2
        )
        assert claim_states(outcomes) == [ClaimState.CLAIMED]

    def test_key_of_another_request_is_refused(self) -> None:
        """A key cannot be reused by a request with another fingerprint."""
        manager = claims.ClaimManager("entry-0")
        manager.claim(make_call("r0"), 0.0)
        transact = get_transaction(manager)
        other = {"attempt": "x", "state": "done", "print": "other"}
        row = claims.Row(transact.operations[0].key, 2, other)
        outcomes = manager.on_transaction_result(transact.number, [row], 0.1)
        assert claim_states(outcomes) == [ClaimState.KEY_REUSED]

    def test_recorded_response_round_trips(self) -> None:
        """Encoding and decoding keeps the complete response."""
        answer = models.RecordedAnswer(
            201, ((b"Content-Type", b"text/plain"),), b"\x00\xff"
        )
        document = claims.encode_answer(answer)
        assert claims.decode_answer(document) == answer
