"""
benches.rounds

Compare versions of the gateway on the users' bench: the same days and seeds on each, paired.

``variant`` lays out what is compared, ``play`` runs the bench, ``report`` reads what it wrote, and
``compare`` says what differs by more than the spread of the pairs. See ``docs/rounds.md``.
"""
