"""
benches.rounds

Compare versions of the gateway on the users' bench, in pairs with the same day and seed.

``variant`` checks out the versions, ``play`` runs the bench, ``report`` reads its reports, and
``compare`` computes which figures differ by more than chance. See ``docs/rounds.md``.
"""
