"""Service time of the local server, as its packets show it."""

import pytest

from medlar_core.ids import Seconds
from medlar_core.relay.balance.expected_wait import expected_wait_ms
from medlar_core.relay.balance.service_time import EXPIRY_S
from medlar_core.relay.balance.service_time import ServiceTime

WORK_S = 0.02


def at(seconds: float) -> Seconds:
    return Seconds(seconds)


def serve(measured: ServiceTime, start: float, work_s: float = WORK_S) -> None:
    measured.record_request(at(start), 1)
    measured.record_response(at(start + work_s), 1)


def test_time_in_the_queue_of_a_server_is_not_its_work():
    measured = ServiceTime()
    for key in range(5):
        measured.record_request(at(0.0), key)
    for key in range(5):
        measured.record_response(at((key + 1) * WORK_S), key)
    assert measured.mean_ms(at(0.1)) == pytest.approx(20.0)


def test_slots_work_side_by_side():
    measured = ServiceTime()
    measured.slots = 2
    for key in range(4):
        measured.record_request(at(0.0), key)
    for key in range(4):
        measured.record_response(at((key // 2 + 1) * WORK_S), key)
    assert measured.mean_ms(at(0.1)) == pytest.approx(20.0)


def test_an_upload_counts_from_its_last_data():
    measured = ServiceTime()
    for part in range(10):
        measured.record_request(at(0.05 * part), 1)
    measured.record_response(at(0.45 + WORK_S), 1)
    assert measured.mean_ms(at(1.0)) == pytest.approx(20.0)


def test_pauses_of_a_caller_and_data_that_nobody_asked_for_do_not_count():
    measured = ServiceTime()
    for start in (0.0, 3.0, 5.0):
        serve(measured, start)
        measured.record_response(at(start + 1.5), 1)
    assert measured.mean_ms(at(6.6)) == pytest.approx(20.0)


def test_one_request_of_a_heavy_tail_does_not_hide_the_mean():
    measured = ServiceTime()
    for number in range(20):
        serve(measured, 0.05 * number)
    serve(measured, 1.0, 30.0 * WORK_S)
    assert measured.mean_ms(at(1.7)) < 40.0


def test_requests_that_are_rejected_at_once_do_not_hide_later_work():
    measured = ServiceTime()
    for number in range(10):
        serve(measured, 0.01 * number, 0.0)
    for number in range(20):
        serve(measured, 1.0 + 0.05 * number)
    assert measured.mean_ms(at(2.0)) > 15.0


def test_a_server_that_slows_down_shows_within_two_seconds():
    measured = ServiceTime()
    for number in range(20):
        serve(measured, 0.05 * number)
    for number in range(10):
        serve(measured, 1.0 + 0.2 * number, 5 * WORK_S)
    assert measured.mean_ms(at(3.0)) > 70.0


def test_an_old_measurement_is_forgotten():
    measured = ServiceTime()
    serve(measured, 0.0)
    assert measured.mean_ms(at(EXPIRY_S + 1.0)) == 0.0


def test_a_request_without_a_response_leaves_its_slot_to_the_next():
    measured = ServiceTime()
    measured.record_request(at(0.0), 1)
    measured.record_request(at(0.0), 2)
    measured.remove(at(1.0), 1)
    measured.record_response(at(1.0 + WORK_S), 2)
    assert measured.mean_ms(at(1.1)) == pytest.approx(20.0)


def test_the_expected_wait_is_the_work_ahead_of_a_free_slot():
    assert expected_wait_ms(1, 2, 20.0) == 0.0
    assert expected_wait_ms(2, 2, 20.0) == 10.0
    assert expected_wait_ms(5, 2, 20.0) == 40.0
    assert expected_wait_ms(5, 2, 0.0) == 0.0
    assert expected_wait_ms(1, 1, 20.0, longest_ms=200.0) == 220.0
