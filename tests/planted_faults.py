"""
tests.planted_faults

Planted faults: each one disables a protection, so that the test that relies on it must fail.
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
    """A request that was sent and got no answer is sent again, since no state records the first."""

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
    """A token whose caller got the answer "not run" is admitted as a new one."""
    admit = Runs.admit

    def admit_refused_again(runs, token, text, request, now):
        run = runs._runs.get(token.sequence)
        if run is not None and run.state is TokenState.REFUSED:
            del runs._runs[token.sequence]
            del runs.ledger._records[token.sequence]
        return admit(runs, token, text, request, now)

    monkeypatch.setattr(Runs, "admit", admit_refused_again)


def restarted_host_accepts_old_tokens(monkeypatch):
    """A restarted process accepts the tokens of its previous incarnation as its own."""
    monkeypatch.setattr(
        TokenLedger, "is_issued_here", lambda ledger, token: token.host == ledger.host
    )
    monkeypatch.setattr(TokenLedger, "issue", _issue_with_sequence_offset)


def _issue_with_sequence_offset(ledger, now, issue=TokenLedger.issue):
    ledger._next = max(ledger._next, 1000 * ledger.incarnation)
    return issue(ledger, now)


def truncated_stream_counts_as_whole(monkeypatch):
    """A stream that ends counts as complete, with or without its final event."""
    relay_events = Dispatcher._relay_events

    async def relay_and_mark_done(dispatcher, run, response, splitter, most):
        await relay_events(dispatcher, run, response, splitter, most)
        splitter.done = True

    monkeypatch.setattr(Dispatcher, "_relay_events", relay_and_mark_done)


def partial_events_are_forwarded(monkeypatch):
    """Received bytes are forwarded to the caller immediately, incomplete events included."""
    feed = EventSplitter.feed

    def feed_and_return_input(splitter, data):
        feed(splitter, data)
        return data

    monkeypatch.setattr(EventSplitter, "feed", feed_and_return_input)


def leaving_state_is_ignored(monkeypatch):
    """Neither the scheduler nor the entry checks whether an upstream is leaving."""
    monkeypatch.setattr(Upstream, "leaving", property(lambda upstream: False))
    monkeypatch.setattr(FleetView, "may_dispatch", lambda fleet, upstream: True)


def drain_does_not_wait(monkeypatch):
    """A planned stop ends without waiting for running requests."""

    async def return_at_once(service):
        return None

    monkeypatch.setattr(EntryService, "drain", return_at_once)


def running_requests_are_not_reported(monkeypatch):
    """Nodes do not report to a new scheduler what its predecessor had started."""
    monkeypatch.setattr(Acquirer, "report_running", lambda acquirer, pool, process: None)


def late_requests_are_shed_in_any_tier(monkeypatch):
    """Every late request is shed, whatever its tier."""
    monkeypatch.setattr(refusals, "may_shed", lambda late, waiting, overlaps: late)


def full_queue_ignores_indirect_overlaps(monkeypatch):
    """A full queue sheds the lowest tier that shares an upstream with the arrival.

    Requests that share an upstream only with the shed request are not considered.
    """

    def make_room(refuser, item, now):
        if len(refuser._pool.waiting) <= refusals.MAX_WAITING_REQUESTS:
            return []
        victim = refuser._last_of_lowest_tier(item)
        return [refuser.shed(victim, refusals.Reason.SHED, 1.0)]

    monkeypatch.setattr(refusals.Refuser, "make_room", make_room)


def lower_revision_is_applied(monkeypatch):
    """A node applies every configuration that it receives, also one of a lower revision."""

    def apply_root(state, root, fetched):
        chunks = {**state.chunks, **fetched}
        return state._decode_and_apply(root, {h: chunks[h] for h in root.chunks.values()})

    monkeypatch.setattr(ConfigurationState, "apply_root", apply_root)
