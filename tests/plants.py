"""
tests.plants

Planted faults: each switches one protection off, so that the proof which relies on it must go red.
"""

from chalkyoke.configuration.state import ConfigurationState
from chalkyoke.entry.acquirer import Acquirer
from chalkyoke.entry.dispatcher import Dispatcher
from chalkyoke.entry.runs import Runs
from chalkyoke.entry.service import EntryService
from chalkyoke.entry.state import Run
from chalkyoke.entry.streams import EventSplitter
from chalkyoke.node.fleet import FleetView
from chalkyoke.scheduling import refusals
from chalkyoke.scheduling.state import ReleaseOutcome, Upstream
from chalkyoke.tokens.ledger import TokenLedger
from chalkyoke.tokens.state import TokenState


def dispatch_again_after_no_answer(monkeypatch):
    """A request that was sent and got no answer is sent once more; nothing marks the first."""

    def claim_dispatch(run, now):
        run.dispatched_at = now
        return run.end is None

    def fail_unanswered(dispatcher, run, outcome):
        dispatcher._acquirer.release(run, ReleaseOutcome.UNUSED)

    monkeypatch.setattr(Run, "claim_dispatch", claim_dispatch)
    monkeypatch.setattr(
        Run, "append_chunk", lambda run, data, now, tokens=0: run.chunks.append(data)
    )
    monkeypatch.setattr(TokenLedger, "transition", lambda ledger, record, state: None)
    monkeypatch.setattr(TokenLedger, "check_not_run", lambda ledger, record: None)
    monkeypatch.setattr(Dispatcher, "_fail_unanswered", fail_unanswered)


def refused_token_runs_again(monkeypatch):
    """A token whose caller was told "not run" is admitted as a new one."""
    admit = Runs.admit

    def forgetful(runs, token, text, request, now):
        run = runs._runs.get(token.sequence)
        if run is not None and run.state is TokenState.REFUSED:
            del runs._runs[token.sequence]
            del runs.ledger._records[token.sequence]
        return admit(runs, token, text, request, now)

    monkeypatch.setattr(Runs, "admit", forgetful)


def restarted_host_runs_old_tokens(monkeypatch):
    """A restarted process takes the tokens of the one before it for its own."""
    monkeypatch.setattr(
        TokenLedger, "is_issued_here", lambda ledger, token: token.host == ledger.host
    )
    monkeypatch.setattr(TokenLedger, "issue", _issue_from_far)


def _issue_from_far(ledger, now, issue=TokenLedger.issue):
    ledger._next = max(ledger._next, 1000 * ledger.incarnation)
    return issue(ledger, now)


def end_of_stream_counts_as_whole(monkeypatch):
    """A stream that ends is taken for whole, with or without its final event."""
    relay_events = Dispatcher._relay_events

    async def trusting(dispatcher, run, response, splitter, most):
        await relay_events(dispatcher, run, response, splitter, most)
        splitter.done = True

    monkeypatch.setattr(Dispatcher, "_relay_events", trusting)


def partial_events_are_passed_on(monkeypatch):
    """Bytes go to the caller as they come, cut events included."""
    feed = EventSplitter.feed

    def careless(splitter, data):
        feed(splitter, data)
        return data

    monkeypatch.setattr(EventSplitter, "feed", careless)


def leaving_is_not_heard(monkeypatch):
    """Neither the scheduler nor the entry looks at who leaves."""
    monkeypatch.setattr(Upstream, "leaving", property(lambda upstream: False))
    monkeypatch.setattr(FleetView, "may_dispatch", lambda fleet, upstream: True)


def drain_does_not_wait(monkeypatch):
    """A planned stop ends at once."""

    async def at_once(service):
        return None

    monkeypatch.setattr(EntryService, "drain", at_once)


def running_is_not_told(monkeypatch):
    """A new scheduler is not told what runs under its predecessor."""
    monkeypatch.setattr(Acquirer, "report_running", lambda acquirer, pool, process: None)


def shed_by_arrival(monkeypatch):
    """Whatever is late is given up, whichever tier it has."""
    monkeypatch.setattr(refusals, "may_shed", lambda late, waiting, overlaps: late)


def room_is_made_beside_only(monkeypatch):
    """A full queue gives up the lowest tier beside the arrival, whoever waits beside that."""

    def make_room(refuser, item, now):
        if len(refuser._pool.waiting) <= refusals.MAX_WAITING_REQUESTS:
            return []
        victim = refuser._last_of_lowest_tier(item)
        return [refuser.shed(victim, refusals.Reason.SHED, 1.0)]

    monkeypatch.setattr(refusals.Refuser, "make_room", make_room)


def lower_revision_is_taken(monkeypatch):
    """A node takes whatever configuration it is told."""

    def apply_root(state, root, fetched):
        chunks = {**state.chunks, **fetched}
        return state._decode_and_apply(root, {h: chunks[h] for h in root.chunks.values()})

    monkeypatch.setattr(ConfigurationState, "apply_root", apply_root)
