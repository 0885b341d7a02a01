"""Tests of the claims in the platform's table."""

from __future__ import annotations

from tarragonlift.core import call as call_module
from tarragonlift.core import claims
from tarragonlift.core import const
from tarragonlift.core import models
from tests import common

ClaimState = call_module.ClaimState


def make_call(request_id: str, key: str = "k") -> call_module.Call:
    """Return a call that runs once."""
    request = common.make_request(
        const.Run.ONCE, request_id=request_id, key=key
    )
    return call_module.Call(request, common.make_pool())


def first(
    book: claims.ClaimManager, now: float = 0.0
) -> claims.TransactRequest:
    """Return the transaction that the book asks for."""
    found = book.next_requests(now)
    (transact,) = [
        one for one in found if isinstance(one, claims.TransactRequest)
    ]
    return transact


def states(told: list[claims.ClaimOutcome]) -> list[ClaimState]:
    """Return what the verdicts say."""
    return [one.state for one in told if isinstance(one, claims.ClaimResult)]


class TestClaimBook:
    """A key is run by one claim, whatever answers are lost."""

    def test_claims_that_wait_go_out_together(self) -> None:
        """Group commit: one transaction for many."""
        book = claims.ClaimManager("entry-0")
        book.claim(make_call("r0", "k0"), 0.0)
        transact = first(book)
        for number in range(1, 6):
            book.claim(make_call(f"r{number}", f"k{number}"), 0.0)
        assert book.next_requests(0.0) == []
        book.on_transaction_result(transact.number, [], 0.1)
        assert len(first(book).operations) == 5
        assert (book.transactions, book.operations) == (2, 6)

    def test_two_claims_of_one_key_do_not_share_a_transaction(self) -> None:
        """The second waits for the first."""
        book = claims.ClaimManager("entry-0")
        book.claim(make_call("r0"), 0.0)
        book.claim(make_call("r1"), 0.0)
        assert len(first(book).operations) == 1

    def test_lost_answer_is_settled_by_reading_back(self) -> None:
        """The row shows that the write happened."""
        book = claims.ClaimManager("entry-0")
        call = make_call("r0")
        book.claim(call, 0.0)
        transact = first(book)
        assert book.on_answer_lost(transact.number, 0.1) == []
        (read,) = book.next_requests(0.1)
        value = transact.operations[0].value
        row = claims.Row(read.key, 1, value)
        told = book.on_read_result(read.number, row, 0.2)
        assert states(told) == [ClaimState.CLAIMED]

    def test_lost_answer_of_a_write_that_did_not_happen(self) -> None:
        """No row: not claimed, and looked at again for a late write."""
        book = claims.ClaimManager("entry-0")
        book.claim(make_call("r0"), 0.0)
        transact = first(book)
        book.on_answer_lost(transact.number, 0.1)
        (read,) = book.next_requests(0.1)
        told = book.on_read_result(
            read.number, claims.Row(read.key, 0, None), 0.2
        )
        assert states(told) == [ClaimState.NOT_CLAIMED]
        assert book.orphan_count == 1

    def test_claim_that_turns_up_late_is_given_back(self) -> None:
        """Nobody sent it, so a resend may run."""
        book = claims.ClaimManager("entry-0")
        book.claim(make_call("r0"), 0.0)
        transact = first(book)
        book.on_answer_lost(transact.number, 0.1)
        (read,) = book.next_requests(0.1)
        book.on_read_result(read.number, claims.Row(read.key, 0, None), 0.2)
        (read,) = book.next_requests(5.0)
        row = claims.Row(read.key, 1, transact.operations[0].value)
        book.on_read_result(read.number, row, 5.1)
        release = first(book, 5.1)
        assert release.operations[0].value is None
        assert release.operations[0].if_version == 1

    def test_lost_and_unreadable_is_unknown(self) -> None:
        """Nothing is claimed to be known that is not."""
        book = claims.ClaimManager("entry-0")
        book.claim(make_call("r0"), 0.0)
        book.on_answer_lost(first(book).number, 0.1)
        (read,) = book.next_requests(0.1)
        told = book.on_not_sent(read.number, 0.2)
        assert states(told) == [ClaimState.UNKNOWN]

    def test_store_down_is_not_claimed(self) -> None:
        """Nothing was written."""
        book = claims.ClaimManager("entry-0")
        book.claim(make_call("r0"), 0.0)
        told = book.on_not_sent(first(book).number, 0.1)
        assert states(told) == [ClaimState.NOT_CLAIMED]

    def test_conflict_tells_each_call_its_own(self) -> None:
        """One key in the way does not harm the others."""
        book = claims.ClaimManager("entry-0")
        book.claim(make_call("r0", "k0"), 0.0)
        book.claim(make_call("r1", "k1"), 0.0)
        transact = first(book)
        other = {"attempt": "x", "state": "claimed", "print": "print"}
        row = claims.Row(transact.operations[0].key, 1, other)
        told = book.on_transaction_result(transact.number, [row], 0.1)
        assert states(told) == [ClaimState.IN_PROGRESS]
        told = book.on_transaction_result(first(book).number, [], 0.2)
        assert states(told) == [ClaimState.CLAIMED]

    def test_key_of_another_request_is_refused(self) -> None:
        """The fingerprint differs."""
        book = claims.ClaimManager("entry-0")
        book.claim(make_call("r0"), 0.0)
        transact = first(book)
        other = {"attempt": "x", "state": "done", "print": "other"}
        row = claims.Row(transact.operations[0].key, 2, other)
        told = book.on_transaction_result(transact.number, [row], 0.1)
        assert states(told) == [ClaimState.KEY_REUSED]

    def test_recorded_answer_comes_back_whole(self) -> None:
        """What is written is what a resend gets."""
        answer = models.RecordedAnswer(
            201, ((b"Content-Type", b"text/plain"),), b"\x00\xff"
        )
        document = claims.encode_answer(answer)
        assert claims.decode_answer(document) == answer
