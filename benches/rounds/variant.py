"""
benches.rounds.variant

A version of the project to compare: a revision, optionally with parts of the policy switched off.
"""

import json
import re
import subprocess
from dataclasses import dataclass
from pathlib import Path

SETTINGS_TEMPLATE = Path("deploy/settings.toml")
ON_PATTERN = re.compile(r"^on = (?P<names>\[[^\]]*\])$", re.MULTILINE)
OFF_PATTERN = re.compile(r"^off = ", re.MULTILINE)
VARIANT_PATTERN = re.compile(r"(?P<name>[A-Za-z0-9_-]+)=(?P<revision>[^:=]+)(:(?P<off>[a-z_,]+))?")


class VariantError(ValueError):
    """Raised for a variant that can't be parsed or checked out; the message has the reason."""


@dataclass(frozen=True, slots=True)
class Variant:
    """One side of a comparison.

    :param name: name in reports and tables.
    :param revision: git revision; ``.`` is the last commit of the tree that the tool runs in.
    :param off: parts of the policy that are switched off.
    """

    name: str
    revision: str
    off: tuple[str, ...] = ()


def parse(text: str) -> Variant:
    """Parse ``NAME=REVISION`` or ``NAME=REVISION:PART,PART``.

    :raises VariantError: if the text has another form.
    """
    found = VARIANT_PATTERN.fullmatch(text)
    if found is None:
        raise VariantError(f"{text!r}: write NAME=REVISION or NAME=REVISION:PART,PART")
    off = tuple(part for part in (found["off"] or "").split(",") if part)
    return Variant(found["name"], found["revision"], off)


def switched_off(template: str, off: tuple[str, ...]) -> str:
    """Return the settings template with parts of the policy switched off.

    Parts that the template switches on are removed from its ``scheduling.on``; the others are added
    as ``scheduling.off``, which a template may not contain already.

    :raises VariantError: if the template has a ``scheduling.off``.
    """
    if not off:
        return template
    if OFF_PATTERN.search(template):
        raise VariantError("the settings template has a scheduling.off of its own")
    switched_on = ON_PATTERN.search(template)
    names = json.loads(switched_on["names"]) if switched_on else []
    if switched_on:
        kept = json.dumps([name for name in names if name not in off])
        template = f"{template[: switched_on.start()]}on = {kept}{template[switched_on.end() :]}"
    rest = json.dumps([name for name in off if name not in names])
    if "[scheduling]" in template:
        return template.replace("[scheduling]", f"[scheduling]\noff = {rest}", 1)
    return f"{template}\n[scheduling]\noff = {rest}\n"


def check_out(variant: Variant, repository: Path, trees: Path) -> Path:
    """Clone the repository at the variant's revision and switch its parts off.

    :param trees: folder of the clones; the bench refuses trees below ``/tmp``.
    :return: root of the clone.
    :raises VariantError: if the revision is unknown.
    """
    tree = trees / variant.name
    revision = "HEAD" if variant.revision == "." else variant.revision
    named = _git(repository, "rev-parse", "--verify", f"{revision}^{{commit}}").strip()
    if not tree.exists():
        _git(repository, "clone", "--quiet", "--shared", str(repository), str(tree))
    _git(tree, "fetch", "--quiet", "origin")
    _git(tree, "checkout", "--quiet", "--force", "--detach", named)
    template = tree / SETTINGS_TEMPLATE
    template.write_text(switched_off(template.read_text(), variant.off))
    return tree


def _git(where: Path, *words: str) -> str:
    done = subprocess.run(["git", "-C", str(where), *words], capture_output=True, text=True)
    if done.returncode:
        raise VariantError(f"git {' '.join(words)}: {done.stderr.strip()}")
    return done.stdout
