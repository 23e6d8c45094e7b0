"""
tests.naive

A reference scheduler without indexes: each decision is computed from scratch over plain lists. The
same events must lead to the same actions as in the real scheduler. Both share only the formulas of
the predictions.
"""

from chalkyoke.outcomes import Reason
from chalkyoke.scheduling import granting, placement
from chalkyoke.scheduling.placement import BLOCK_TOKENS, predict
from chalkyoke.scheduling.refusals import Refuser
from chalkyoke.scheduling.scheduler import PoolScheduler


class NaivePrefixes:
    """Each engine's cache as a plain list of blocks, oldest first."""

    def __init__(self):
        self.held, self.capacity, self.believed = {}, {}, {}

    def add_upstream(self, name, capacity):
        self.held.setdefault(name, [])
        self.believed.setdefault(name, float(capacity))
        self.capacity[name] = capacity

    def remove_upstream(self, name):
        for table in (self.held, self.capacity, self.believed):
            table.pop(name, None)

    def matches(self, blocks):
        depths = {}
        for name, held in self.held.items():
            depth = 0
            while depth < len(blocks) and blocks[depth] in held:
                depth += 1
            if depth:
                depths[name] = depth
        return depths

    def insert_blocks(self, name, blocks):
        if name not in self.held or self.capacity[name] <= 0:
            return
        held = [block for block in self.held[name] if block not in blocks]
        held += list(reversed(list(dict.fromkeys(blocks))))
        while len(held) > self.believed[name]:
            held.pop(0)
        self.held[name] = held

    def drop_blocks(self, name, blocks):
        if name in self.held:
            self.held[name] = [block for block in self.held[name] if block not in blocks]

    def correct_capacity(self, name, expected, found):
        if not self.capacity.get(name) or expected == 0:
            return
        believed = self.believed[name] * (0.95 if found < expected else 1.01)
        self.believed[name] = min(self.capacity[name], max(0.1 * self.capacity[name], believed))


def share_upstreams(self, first, other):
    routes = {each.name: each.upstreams for each in self._pool.spec.routes}
    return bool(routes[first] & routes[other])


def teams_in_fair_order(self, rank):
    """List the (team, route) pairs with waiting requests of a tier in fair-share order."""
    keys = {(item.team, item.route) for item in self._pool.waiting.values() if item.rank == rank}
    return sorted(keys, key=lambda key: (self._pool.queues[rank].virtual_time(key[0]), *key))


def requests_in_order(self, rank, team, route):
    mine = [
        item
        for item in self._pool.waiting.values()
        if (item.rank, item.team, item.route) == (rank, team, route)
    ]
    return sorted(mine, key=lambda item: (item.late, item.deadline, item.order))


class NaiveScheduler(PoolScheduler):
    """Inherits events and learning; computes every decision again from plain lists."""

    _share_upstreams = share_upstreams
    _teams_in_fair_order = teams_in_fair_order
    _requests_in_order = requests_in_order

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        refuser = NaiveRefuser.__new__(NaiveRefuser)
        refuser.__dict__.update(self._refuser.__dict__)
        self._refuser = refuser
        self._pool.prefixes = NaivePrefixes()
        for spec in self.spec.upstreams:
            self._pool.prefixes.add_upstream(spec.id, spec.cache_blocks)

    def _usable_upstreams(self, item, now):
        route = next(each for each in self.spec.routes if each.name == item.route)
        names = sorted(name for name in route.upstreams if name in self._pool.upstreams)
        return [
            self._pool.upstreams[n]
            for n in names
            if self._pool.upstreams[n].is_usable(item.domain, now)
        ]

    # The decision.

    def _decide(self, now):
        if not self._pool.waiting or not self._settled(now):
            return []
        outs, held = [], {}
        for late in (False, True):
            for rank in sorted({item.rank for item in self._pool.waiting.values()}):
                self._decide_tier(rank, late, held, now, outs)
        return outs

    def _decide_tier(self, rank, late, held, now, outs):
        blocked, full, examined_count = set(), set(), 0
        while examined_count < granting.MAX_EXAMINED_REQUESTS:
            granted = False
            for team, route in self._teams_in_fair_order(rank):
                if (team, route) in blocked or route in full or self._is_over_limit(team):
                    continue
                names = next(each for each in self.spec.routes if each.name == route).upstreams
                if not any(
                    self._pool.upstreams[n].has_slot(now)
                    for n in names
                    if n in self._pool.upstreams
                ):
                    full.add(route)
                    continue
                for item in self._requests_in_order(rank, team, route)[:4]:
                    if item.late != late:
                        break
                    examined_count += 1
                    if self._try_grant(item, held, now, outs):
                        granted = True
                        break
                if granted:
                    break
                blocked.add((team, route))
            if not granted:
                return

    def _is_over_limit(self, team):
        limit = next((each.max_running for each in self.spec.teams if each.name == team), 0)
        return bool(limit) and sum(r.team == team for r in self._pool.running.values()) >= limit

    def _try_grant(self, item, held, now, outs):
        depths = self._pool.prefixes.matches(item.blocks)
        free, busy = [], []
        for upstream in self._usable_upstreams(item, now):
            cached = depths.get(upstream.spec.id, 0)
            left = max(1, item.prompt_tokens - cached * BLOCK_TOKENS)
            harm = upstream.running and upstream.speed.prefill_time(left) > upstream.finish_slack_s(
                item.rank, now
            )
            (busy if harm or not upstream.has_slot(now) else free).append((upstream, cached))
        found = [
            (predict(item, up, cached, up.occupied(now) + 1, now), up, cached)
            for up, cached in free
        ]
        if not found:
            return False
        best, upstream, cached = min(found, key=lambda each: each[0].finish_s)
        limit = best.finish_s * (1.0 - placement.HOLD_MARGIN_SHARE) - placement.HOLD_MARGIN_S
        busy_waits = []
        for index, (other, other_cached) in enumerate(busy):
            ends = sorted(each.expected_finish for each in other.running.values())
            ahead = held.get(other.spec.id, 0)
            wait = max(0.0, ends[ahead] - now) if ahead < len(ends) else float("inf")
            busy_waits.append((wait, index, other, other_cached))
        better_busy = []
        for wait, _, other, other_cached in sorted(busy_waits, key=lambda each: each[:2])[:8]:
            finish = wait + predict(item, other, other_cached, other.spec.slots, now).finish_s
            if finish < limit:
                better_busy.append((finish, other.spec.id))
        if better_busy:
            name = min(better_busy, key=lambda each: each[0])[1]
            held[name] = held.get(name, 0) + 1
            self.counters.held += 1
            return False
        if not self._is_worth_starting(item, best, now):
            return False
        outs.append(
            self._granter.grant_request(item, placement.Placement(upstream, best, cached), now)
        )
        return True

    def _is_worth_starting(self, item, best, now):
        left = item.deadline - now
        if best.cautious_s <= left:
            return True
        alone = sum(
            (each.rank, each.route) == (item.rank, item.route)
            for each in self._pool.waiting.values()
        )
        if item.late:
            return best.finish_s <= left and best.optimistic_s <= left
        return alone == 1 and best.optimistic_s <= left


class NaiveRefuser(Refuser):
    """Computes from plain lists which waiting requests are shed."""

    _share_upstreams = share_upstreams
    _teams_in_fair_order = teams_in_fair_order
    _requests_in_order = requests_in_order

    def shed_late(self, now):
        slots = {}
        for name, upstream in self._pool.upstreams.items():
            if upstream.is_usable("", now):
                ends = [max(now, each.expected_finish) for each in upstream.running.values()]
                free = max(0, upstream.spec.slots - upstream.occupied(now))
                slots[name] = sorted(ends + [now] * free)
        late = [
            (item, missed)
            for item in self._all_requests_in_order()
            if (missed := self._play_forward(item, slots, now)) is not None
        ]
        allowed = self._allowed_to_shed(late)
        outs = [
            self.shed(item, Reason.SHED, self.retry_after_s(missed)) for item, missed in allowed
        ]
        gone = [item for item, _ in late]
        for item in list(self._pool.waiting.values()):
            self._pool.queues[item.rank].set_late(item, item in gone)
        return outs

    def _all_requests_in_order(self):
        weights = {team.name: team.weight for team in self._pool.spec.teams}
        for rank in sorted({item.rank for item in self._pool.waiting.values()}):
            queues = {
                key: self._requests_in_order(rank, *key) for key in self._teams_in_fair_order(rank)
            }
            virtual = {team: self._pool.queues[rank].virtual_time(team) for team, _ in queues}
            while queues:
                key = min(queues, key=lambda each: (virtual[each[0]], each))
                item = queues[key].pop(0)
                if not queues[key]:
                    del queues[key]
                yield item
                virtual[key[0]] += item.work / weights.get(key[0], 1.0)

    def _play_forward(self, item, slots, now):
        """Simulate one request: return its lateness in seconds, or None and reserve its slot."""
        route = next(each for each in self._pool.spec.routes if each.name == item.route)
        names = [n for n in sorted(route.upstreams) if slots.get(n)]
        if not names:
            return None
        name = min(names, key=lambda each: slots[each][0])
        guess = predict(
            item, self._pool.upstreams[name], 0, self._pool.upstreams[name].spec.slots, now
        )
        if slots[name][0] + guess.cautious_s > item.deadline:
            guesses = {
                n: predict(
                    item, self._pool.upstreams[n], 0, self._pool.upstreams[n].spec.slots, now
                )
                for n in names
            }
            name = min(names, key=lambda each: slots[each][0] + guesses[each].cautious_s)
            guess = guesses[name]
        start, upstream = slots[name][0], self._pool.upstreams[name]
        missed = start + guess.cautious_s - item.deadline
        soon = predict(item, upstream, 0, upstream.occupied(now) + 1, now).optimistic_s
        starts_now = start <= now and upstream.has_slot(now) and now + soon <= item.deadline
        if missed <= 0 or starts_now:
            slots[name] = sorted([*slots[name][1:], start + guess.finish_s])
            return None
        return missed

    def _allowed_to_shed(self, late):
        staying = [
            item for item in self._pool.waiting.values() if item not in [each for each, _ in late]
        ]
        allowed = []
        for item, missed in sorted(late, key=lambda each: -each[0].rank):
            below = [
                other
                for other in staying
                if other.rank > item.rank and self._share_upstreams(other.route, item.route)
            ]
            if below:
                staying.append(item)
            else:
                allowed.append((item, missed))
        return allowed
