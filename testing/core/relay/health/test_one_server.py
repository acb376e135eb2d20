"""Services of one server, which has no other to place flows at."""

from medlar_core.packets import Flag

from ..kit import Fleet
from ..kit import flow
from ..kit import node
from .grey_servers import Failure
from .grey_servers import put_grey


def test_a_server_that_answers_late_gets_the_copies_of_its_flow():
    fleet = Fleet(1, 2)
    server = put_grey(fleet, node("agent", 0), Failure.MUTE)
    late = flow(1)
    fleet.syn(late)
    fleet.run(0.2)
    fleet.syn(late, retransmission=1)
    fleet.run(0.05)
    assert fleet.reset_count([late]) == 0
    server.failure = None
    fleet.run(0.35)
    fleet.syn(late, retransmission=2)
    fleet.run(0.05)
    assert fleet.packet_count(late, Flag.SYN) == 1
    assert len(server.syns) >= 2
