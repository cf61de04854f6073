"""Rows for queries: declared objects and the current state."""

import msgspec

from zinniadyke import control
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import peers

EMPTY_STATUS = peers.Status(
    host=ids.HostName(""),
    zone=ids.ZoneName(""),
    service=ids.ServiceName(""),
    incarnation=ids.Incarnation(""),
    gate=peers.GateState.CLOSED,
    version="",
    staged=[],
    running=0,
    slots=0,
    revision=0,
)


class RowBuilder:
    """Builds the rows of each kind for queries.

    Parameters
    ----------
    entry
        The entry process.
    """

    def __init__(self, *, entry) -> None:
        """Store the entry."""
        self.entry = entry
        self.node = entry.node

    def of_kind(self, kind: str) -> list[dict]:
        """Return the rows of a kind; ``kind`` is a plural.

        Raises
        ------
        DeclarationError
            The kind does not exist.
        """
        live_kinds = {
            "targets": self._targets,
            "rollouts": self._rollouts,
            "latency": self.entry.histograms.rows,
            "processes": self._processes,
            "workspaces": self._workspaces,
        }
        if kind in live_kinds:
            return live_kinds[kind]()
        singular = kind.removesuffix("s")
        if singular in objects.KINDS:
            return self._declared_rows(singular)
        known_kinds = [
            *sorted(live_kinds),
            *(f"{k}s" for k in sorted(objects.KINDS)),
        ]
        raise errors.DeclarationError(
            f"unknown kind '{kind}'; the kinds are"
            f" {', '.join(dict.fromkeys(known_kinds))}"
        )

    def _declared_rows(self, kind: str) -> list[dict]:
        scope_name = objects.KINDS[kind].scope
        rows = []
        for key, value in self.node.configuration.of_kind(kind):
            row = {"name": key.name}
            if scope_name:
                row[scope_name] = key.scope
            fields = msgspec.to_builtins(value)
            fields.pop("tokens", None)
            fields.pop("operator_tokens", None)
            rows.append({**row, **fields})
        return rows

    def _workspaces(self) -> list[dict]:
        rows = self._declared_rows("workspace")
        return [{"workspace": row["name"], **row} for row in rows]

    def _targets(self) -> list[dict]:
        rows = []
        for name, pool in sorted(self.entry.requests.pools.items()):
            for host, link in sorted(pool.links.items()):
                rows.append(_target_row(name, host, link))
        return rows

    def _rollouts(self) -> list[dict]:
        rows = []
        for key, rollout in self.node.configuration.of_kind("rollout"):
            rollout_progress = control.read_progress(
                self.node.client, key.name
            )
            rollout_progress = rollout_progress or control.RolloutProgress(
                rollout=key.name,
                model=rollout.model,
                version=rollout.version,
                state=rollout.state.value,
            )
            rows.append(msgspec.to_builtins(rollout_progress))
        return rows

    def _processes(self) -> list[dict]:
        return [
            {
                "name": host.name,
                "role": host.role.value,
                "zone": host.zone,
                "state": host.state.value,
            }
            for host in self.node.sync.hosts
        ]


def _target_row(service: str, host: str, link) -> dict:
    status = link.status or EMPTY_STATUS
    model, _, version = status.version.partition("/")
    return {
        "name": host,
        "service": service,
        "zone": link.host.zone,
        "model": model,
        "serving": version,
        "gate": status.gate.value,
        "alive": link.alive,
        "running": status.running,
        "in_flight": link.in_flight,
        "progress": status.progress,
        "waiting": status.waiting,
        "revision": status.revision,
    }
