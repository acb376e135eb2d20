"""A small fleet whose operators evacuate places."""

from medlar_core.effects import Send
from medlar_core.ids import PlaceName
from medlar_core.packets import Flag
from medlar_core.relay.messages import Hello
from medlar_core.relay.zones.settings import ZoneSettings

from ..kit import EVACUATIONS
from ..kit import Fleet
from ..kit import flow

A, B, C = PlaceName("a"), PlaceName("b"), PlaceName("c")
ZONES = ZoneSettings(True, 1.5, 5.0)
IN_FORCE_S = 2.0
"""An evacuation is in force everywhere this long after its request."""
LATE_ANSWERS_S = 22.0
"""The store's answers to a process that ended are gone after this."""


class ZoneFleet(Fleet):
    """Processes in three places, in turn."""

    def __init__(self, agents=12, balancers=6, zones=ZONES):
        super().__init__(agents, balancers, zones=zones, places=(A, B, C))
        self.next_flow = 0

    def evacuate(self, place):
        self.write(EVACUATIONS + place, "{}")

    def take_back(self, place):
        self.delete(EVACUATIONS + place)

    def compact(self):
        """Let the store forget its history and cut the watches."""
        self.world.store.compact()

    def lose_power(self):
        """End all processes and servers, and let late answers pass."""
        for address in [*self.agents, *self.balancers]:
            self.kill(address)
        self.announcements.clear()
        self.run(LATE_ANSWERS_S)

    def start_all(self):
        """Start all processes and servers that have lost power."""
        for address in list(self.agents):
            self.start_server(address)
            self.start_agent(address)
        for address in list(self.balancers):
            self.start_balancer(address)

    def accepted(self, place):
        """Return how many flows the servers of a place have accepted."""
        return sum(
            len(server.accepted)
            for address, server in self.world.servers.items()
            if self.place(address) == place
        )

    def load(self, count=40, gap_s=0.01, balancers=None):
        """Open flows with a request each, through the balancers in turn."""
        numbers = balancers or range(len(self.balancers))
        opened = []
        for step in range(count):
            opened.append(flow(self.next_flow))
            self.next_flow += 1
            by = numbers[step % len(numbers)]
            self.syn(opened[-1], by)
            self.run(gap_s)
            if self.packet_count(opened[-1], Flag.SYN):
                self.data(opened[-1], by)
        self.run(0.1)
        return opened

    def share_after(self, place, **kwargs):
        """Open flows; return how many the place got of those answered."""
        before = self.accepted(place)
        opened = self.load(**kwargs)
        answered = [f for f in opened if self.packet_count(f, Flag.SYN)]
        return self.accepted(place) - before, len(answered)


class WithoutPlaces:
    """A balancer of an earlier version, which tells no evacuations."""

    def __init__(self, reducer):
        self.reducer = reducer

    def reduce(self, now, event):
        effects = self.reducer.reduce(now, event)
        return [_without_places(effect) for effect in effects]


def _without_places(effect):
    match effect:
        case Send(dst=dst, msg=Hello() as msg):
            fields = {
                name: getattr(msg, name)
                for name in msg.__struct_fields__
                if name not in ("evacuated", "cold_per_s", "link_mbps")
            }
            return Send(dst, Hello(**fields))
    return effect
